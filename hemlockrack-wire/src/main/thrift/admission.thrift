namespace java org.hemlockrack.wire

/** Says that an owner has stopped admitting for a backend server. */
struct Handover {
  1: string backend,
  2: string fromInstance,
  3: string toInstance,
  4: i64 incarnation,
  5: i64 floorSequence,
  6: list<string> inFlight,
  7: i32 foreignLoad
}
