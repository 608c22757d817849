package org.hemlockrack.daemon.peer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.net.InetSocketAddress;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket.NonblockingAbstractServerSocketArgs;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hemlockrack.codec.BoundedProtocol;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.wire.Peer;
import org.jspecify.annotations.Nullable;

/** The Thrift server on which an instance receives messages and calls of other instances. */
public final class PeerServer implements AutoCloseable {
    /** Maximum frame size, which bounds the memory that an untrusted client can allocate. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    /**
     * Frames that are being received use at most this part of the heap. Without TLS others wait;
     * with TLS stalled ones and then the largest ones are given up.
     */
    private static final int READ_HEAP_DIVISOR = 8;

    /** With a small heap there is room for this number of the largest frames. */
    private static final int MIN_READ_FRAMES = 2;

    /** Connections that may wait to be accepted; a large fleet exceeds the default of 50. */
    private static final int BACKLOG = 1_024;

    /**
     * Maximum number of worker threads without TLS. A thread is blocked while a proposal waits for
     * its commit or an exchange for its turn. The connection of a call that finds no free thread is
     * closed, so there is a thread for each of the 330 instances of the largest planned fleet.
     */
    static final int MAX_WORKERS = 512;

    /**
     * Maximum number of threads with TLS, one for each connection. An instance opens two
     * connections to each of its peers, of which the largest planned fleet has 330.
     */
    private static final int MAX_TLS_CONNECTIONS = 1_024;

    /** Threads of connections that were closed for others and have not ended yet. */
    private static final int ENDING_CONNECTIONS = 64;

    /** Memory of a connection with TLS: its buffers and the state of its session. */
    private static final long TLS_CONNECTION_BYTES = 64 << 10;

    /** Connections with TLS use at most this part of the heap. */
    private static final int CONNECTION_HEAP_DIVISOR = 4;

    private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

    private final TServer mServer;
    private final ThreadPoolExecutor mWorkers;
    private final InetSocketAddress mAddress;

    private PeerServer(TServer server, ThreadPoolExecutor workers, InetSocketAddress address) {
        mServer = server;
        mWorkers = workers;
        mAddress = address;
    }

    /**
     * Opens the port.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param maxConnections most open connections
     * @param handler handles the calls; may block up to the timeout given in a call
     * @param keys keys for TLS, or null for plain text
     * @return the open port
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if the address cannot be
     *     bound
     */
    public static PeerServer open(
            InetSocketAddress address,
            int maxConnections,
            Peer.Iface handler,
            @Nullable TlsKeys keys) {
        try {
            PeerServer server =
                    keys == null
                            ? openPlain(address, maxConnections, handler)
                            : openTls(address, maxConnections, handler, keys);
            Thread acceptor = new Thread(server.mServer::serve, "peer-accept");
            acceptor.setDaemon(true);
            acceptor.start();
            return server;
        } catch (TTransportException e) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, "port \"peer\" cannot listen on " + address, e);
        }
    }

    /**
     * Opens the port without a limit on its connections. The parameters are those of {@link
     * #open(InetSocketAddress, int, Peer.Iface, TlsKeys)}.
     *
     * @return the open port
     */
    public static PeerServer open(
            InetSocketAddress address, Peer.Iface handler, @Nullable TlsKeys keys) {
        return open(address, Integer.MAX_VALUE, handler, keys);
    }

    private static PeerServer openPlain(
            InetSocketAddress address, int maxConnections, Peer.Iface handler)
            throws TTransportException {
        FrameGuard socket =
                FrameGuard.open(
                        new NonblockingAbstractServerSocketArgs()
                                .bindAddr(address)
                                .clientTimeout(CLIENT_TIMEOUT_MILLIS)
                                .maxFrameSize(MAX_FRAME_BYTES)
                                .backlog(BACKLOG),
                        maxConnections);
        ThreadPoolExecutor workers = createWorkerPool(MAX_WORKERS);
        // A thread of its own accepts connections. A server that accepts one in each pass over its
        // connections leaves other controllers waiting behind all gateways after a restart.
        TThreadedSelectorServer.Args args =
                new TThreadedSelectorServer.Args(socket)
                        .selectorThreads(1)
                        .acceptQueueSizePerThread(BACKLOG)
                        .processor(metered(handler))
                        .inputProtocolFactory(BoundedProtocol.factory(ParseMemory.ofProcess()))
                        .outputProtocolFactory(new TCompactProtocol.Factory())
                        .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                        .executorService(workers);
        args.maxReadBufferBytes = maxReadBytes();
        TThreadedSelectorServer server = new TThreadedSelectorServer(args);
        return new PeerServer(
                server, workers, new InetSocketAddress(address.getAddress(), socket.getPort()));
    }

    private static long maxReadBytes() {
        return Math.max(
                MIN_READ_FRAMES * MAX_FRAME_BYTES,
                Runtime.getRuntime().maxMemory() / READ_HEAP_DIVISOR);
    }

    private static int maxTlsConnections() {
        long heapBytes = Runtime.getRuntime().maxMemory() / CONNECTION_HEAP_DIVISOR;
        return (int) Math.min(MAX_TLS_CONNECTIONS, heapBytes / TLS_CONNECTION_BYTES);
    }

    private static PeerServer openTls(
            InetSocketAddress address, int maxConnections, Peer.Iface handler, TlsKeys keys)
            throws TTransportException {
        int connections = Math.min(maxConnections, maxTlsConnections());
        TlsServerTransport transport = TlsServerTransport.open(address, keys, connections);
        ThreadPoolExecutor workers = createWorkerPool(connections + ENDING_CONNECTIONS);
        RequestMemory memory = RequestMemory.of(maxReadBytes(), FrameGuard.STALL_MILLIS);
        TTransportFactory frames =
                new TTransportFactory() {
                    @Override
                    public TTransport getTransport(TTransport connection) {
                        return BoundedFrameTransport.of(
                                (TlsServerTransport.Connection) connection, memory);
                    }
                };
        TThreadPoolServer server =
                new TThreadPoolServer(
                        new TThreadPoolServer.Args(transport)
                                .processor(metered(handler))
                                .inputProtocolFactory(
                                        BoundedProtocol.factory(ParseMemory.ofProcess()))
                                .outputProtocolFactory(new TCompactProtocol.Factory())
                                .inputTransportFactory(frames)
                                .outputTransportFactory(
                                        new TFramedTransport.Factory(MAX_FRAME_BYTES))
                                .executorService(workers));
        return new PeerServer(
                server, workers, new InetSocketAddress(address.getAddress(), transport.port()));
    }

    /** Returns the memory of each message to the budget once its call has ended. */
    private static TProcessor metered(Peer.Iface handler) {
        TProcessor processor = new Peer.Processor<>(handler);
        return (in, out) -> {
            try (BoundedProtocol message = (BoundedProtocol) in) {
                processor.process(message, out);
            }
        };
    }

    private static ThreadPoolExecutor createWorkerPool(int maxThreads) {
        return new ThreadPoolExecutor(
                4,
                maxThreads,
                10,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                new ThreadFactoryBuilder()
                        .setNameFormat("peer-%d")
                        .setDaemon(true)
                        // The pool replaces a thread that a call has ended.
                        .setUncaughtExceptionHandler((thread, cause) -> cause.printStackTrace())
                        .build(),
                // The servers close a connection whose call is rejected; a dropped call of a plain
                // connection would leave it open and unread.
                new ThreadPoolExecutor.AbortPolicy());
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.stop();
        mWorkers.shutdownNow();
    }
}
