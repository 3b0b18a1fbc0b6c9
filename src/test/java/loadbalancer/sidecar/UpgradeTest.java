package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.handover.HandoverFolder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one sidecar, played by two sidecars in this one. */
@Timeout(60)
class UpgradeTest {
    @TempDir
    Path folder;

    private final List<HandoverFolder> notebooks = new ArrayList<>();

    @AfterEach
    void nobodyWritesAnyMore() throws Exception {
        for (HandoverFolder n : notebooks) {
            assertTrue(n.awaitTermination());
        }
    }

    private Rig rig() throws Exception {
        Rig rig = new Rig();
        rig.peerFields = "\"admin\":\"127.0.0.1:0\",";
        HandoverFolder notebook = new HandoverFolder(folder, "n0");
        notebooks.add(notebook);
        rig.handover =
                new Handover(notebook, Rig.config(rig.json("127.0.0.1:1")).settings());
        rig.rehearsal = () -> {};
        return rig;
    }

    private Rig beside(Rig old) throws Exception {
        Rig rig = rig();
        rig.listen = "127.0.0.1:" + old.address().getPort();
        rig.peers.addAll(old.peers);
        return rig.start();
    }

    private static int call(Rig rig, String path) throws Exception {
        try (Peer.Client c = new Peer.Client(rig.sidecar.adminAddress())) {
            return c.send("POST /control/" + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
                    .status();
        }
    }

    /** Clients that open a connection for each request, and such as keep theirs, never meet a closed door. */
    @Test
    void underLoadNoRequestIsTurnedBack() throws Exception {
        try (Rig old = rig()) {
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.start().sidecar.endWarmUp();
            AtomicInteger served = new AtomicInteger();
            CountDownLatch enough = new CountDownLatch(300);
            List<String> wrong = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                int number = i;
                clients.add(new Thread(() -> {
                    for (int n = 0; n < 500 && !Thread.currentThread().isInterrupted(); n++) {
                        try (Peer.Client c = old.client()) {
                            int status = c.send(Rig.get("r" + number + "-" + n, 20_000))
                                    .status();
                            if (status == 200) {
                                served.incrementAndGet();
                            } else {
                                add(wrong, number + "-" + n + ": " + status);
                            }
                        } catch (Exception exception) {
                            add(wrong, number + "-" + n + ": " + exception);
                        }
                        enough.countDown();
                    }
                }));
            }
            clients.forEach(Thread::start);
            try (Rig next = beside(old)) {
                next.sidecar.endWarmUp();
                CountDownLatch ended = new CountDownLatch(1);
                old.sidecar.stop(ended::countDown);
                assertTrue(ended.await(20, TimeUnit.SECONDS), "the old one does not end");
                assertTrue(enough.await(30, TimeUnit.SECONDS));
                for (Thread t : clients) {
                    t.join();
                }
                // What connects in the microseconds between the last look and the close is the kernel's to reset.
                assertTrue(wrong.size() <= 2, wrong.toString());
                assertEquals(2_000, served.get() + wrong.size());
            }
        }
    }

    private static void add(List<String> wrong, String what) {
        synchronized (wrong) {
            wrong.add(what);
        }
    }

    /** One that dies before its yes has changed nothing: the old one ends as if it had never been. */
    @Test
    void aNewOneThatDiesLeavesTheOldOneUnharmed() throws Exception {
        try (Rig old = rig()) {
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.start().sidecar.endWarmUp();
            assertEquals(200, call(old, "out-of-service"));
            try (Rig dies = beside(old)) {
                assertTrue(old.handover.hasSuccessor());
                // The node is the old one's too.
                dies.peers.clear();
            }
            assertEquals(200, call(old, "in-service"));
            try (Peer.Client c = old.client()) {
                assertEquals(200, c.send(Rig.get("a1", 20_000)).status());
            }
        }
    }

    @Test
    void theNewOneListensOnlyOnceItIsReady() throws Exception {
        try (Rig old = rig()) {
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.start().sidecar.endWarmUp();
            try (Rig next = beside(old)) {
                assertNull(next.address());
                next.sidecar.endWarmUp();
                assertEquals(old.address(), next.address());
            }
        }
    }

    /** Told to end before it is ready it ends, and never listens: the old one serves on. */
    @Test
    void aNewOneThatIsToldToEndBeforeItListensEnds() throws Exception {
        try (Rig old = rig()) {
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.start().sidecar.endWarmUp();
            try (Rig next = beside(old)) {
                CountDownLatch stopped = new CountDownLatch(1);
                next.sidecar.stop(stopped::countDown);
                next.sidecar.endWarmUp();
                assertNull(next.address());
                assertTrue(stopped.await(20, TimeUnit.SECONDS), "it never ends");
                // The node is the old one's too.
                next.peers.clear();
            }
            try (Peer.Client c = old.client()) {
                assertEquals(200, c.send(Rig.get("a1", 20_000)).status());
            }
        }
    }

    /**
     * What operators took out stays out in the process that comes, whichever of the two they tell, until they call it
     * back.
     */
    @Test
    void bansHoldOverAnUpgradeAndForBoth() throws Exception {
        try (Rig old = rig()) {
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.upstream((m, line) -> line.answer("200 OK", "", "x"));
            old.start().sidecar.endWarmUp();
            assertEquals(200, call(old, "upstreams/u0/offline"));
            old.await("list CACHED u0=DRAINING,u1=READY");
            try (Rig next = beside(old)) {
                next.await("list CACHED u0=DRAINING,u1=READY");
                assertEquals(200, call(next, "upstreams/u1/offline"));
                old.await("list CACHED u0=DRAINING,u1=DRAINING");
                assertEquals(200, call(old, "upstreams/u0/online"));
                next.await("list CACHED u0=READY,u1=DRAINING");
            }
        }
    }
}
