package org.hemlockrack.daemon.peer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.net.InetSocketAddress;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.Peer;

/** The Thrift port of one instance. */
public final class PeerServer implements AutoCloseable {
    /** Largest frame accepted; a stranger cannot make the process allocate more. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    /** Proposals wait for their commit on these threads. */
    private static final int MAX_WORKERS = 64;

    private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

    private final THsHaServer mServer;
    private final ThreadPoolExecutor mWorkers;
    private final InetSocketAddress mAddress;

    private PeerServer(THsHaServer server, ThreadPoolExecutor workers, InetSocketAddress address) {
        mServer = server;
        mWorkers = workers;
        mAddress = address;
    }

    /**
     * Opens the port.
     *
     * @param address address to listen on
     * @param handler answers the calls; may block up to the timeout that a call states
     * @return the open port
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if the address cannot be
     *     bound
     */
    public static PeerServer open(InetSocketAddress address, Peer.Iface handler) {
        try {
            TNonblockingServerSocket socket =
                    new TNonblockingServerSocket(address, CLIENT_TIMEOUT_MILLIS, MAX_FRAME_BYTES);
            ThreadPoolExecutor workers =
                    new ThreadPoolExecutor(
                            4,
                            MAX_WORKERS,
                            10,
                            TimeUnit.SECONDS,
                            new SynchronousQueue<>(),
                            new ThreadFactoryBuilder()
                                    .setNameFormat("peer-%d")
                                    .setDaemon(true)
                                    .build(),
                            new ThreadPoolExecutor.DiscardPolicy());
            THsHaServer server =
                    new THsHaServer(
                            new THsHaServer.Args(socket)
                                    .processor(new Peer.Processor<>(handler))
                                    .protocolFactory(new TCompactProtocol.Factory())
                                    .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                                    .executorService(workers));
            PeerServer opened =
                    new PeerServer(
                            server,
                            workers,
                            new InetSocketAddress(address.getAddress(), socket.getPort()));
            Thread acceptor = new Thread(server::serve, "peer-accept");
            acceptor.setDaemon(true);
            acceptor.start();
            return opened;
        } catch (TTransportException e) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, "port \"peer\" cannot listen on " + address, e);
        }
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
