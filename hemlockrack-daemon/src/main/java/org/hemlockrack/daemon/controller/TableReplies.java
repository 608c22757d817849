package org.hemlockrack.daemon.controller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.hemlockrack.control.TableHistory;
import org.hemlockrack.control.TableHistory.LoggedTable;
import org.hemlockrack.control.TableSends;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;

/** The route tables in the replies of a controller to gateways. Thread-safe. */
final class TableReplies {
    private final TableHistory mTables;
    private final TableSends mSends = TableSends.create();
    private final BooleanSupplier mLeads;
    private long mDeferred;

    private TableReplies(TableHistory tables, BooleanSupplier leads) {
        mTables = tables;
        mLeads = leads;
    }

    /**
     * Creates an instance.
     *
     * @param leads whether this controller leads
     */
    static TableReplies of(TableHistory tables, BooleanSupplier leads) {
        return new TableReplies(tables, leads);
    }

    /** Lists the tables of the local log in a reply, with as many documents as are asked for. */
    void list(SyncRequest request, SyncReply reply) {
        reply.setLoggedTableVersion(mTables.newestVersion());
        int remainingBytes = request.getMaxTableBytes();
        List<LoggedTableData> listed = new ArrayList<>();
        for (LoggedTable table : mTables.newerThan(request.getListTablesAbove())) {
            LoggedTableData data = new LoggedTableData(table.version());
            if (table.document().length <= remainingBytes) {
                data.setDocument(ByteBuffer.wrap(table.document()));
                remainingBytes -= table.document().length;
            }
            listed.add(data);
        }
        reply.setLoggedTables(listed);
    }

    /**
     * Removes the documents from a reply if too many bytes of tables are on their way. The gateway
     * then asks another controller.
     *
     * @param nowNanos monotonic time
     * @param request the request, which shows that its sender has the last reply
     * @param reply the reply with all tables
     */
    synchronized void bound(long nowNanos, SyncRequest request, SyncReply reply) {
        mSends.confirm(request.getSender());
        List<LoggedTableData> logged =
                reply.isSetLoggedTables() ? reply.getLoggedTables() : List.of();
        long bytes = reply.isSetTableDocument() ? reply.getTableDocument().length : 0;
        for (LoggedTableData data : logged) {
            bytes += data.isSetDocument() ? data.getDocument().length : 0;
        }
        boolean leads = mLeads.getAsBoolean();
        if (bytes == 0 || mSends.tryStart(nowNanos, request.getSender(), bytes, leads)) {
            return;
        }
        mDeferred++;
        reply.unsetTableDocument();
        logged.forEach(LoggedTableData::unsetDocument);
    }

    /** Returns the number of replies that left out tables because others were on their way. */
    synchronized long deferred() {
        return mDeferred;
    }
}
