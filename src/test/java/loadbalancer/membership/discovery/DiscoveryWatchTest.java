package loadbalancer.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Times of a watch's calls, on virtual time. Changes count as notified at fixed times whether or not they arrive, so a
 * call without a response must be replaced in time.
 */
class DiscoveryWatchTest {
    private static final long GRACE_MILLIS = 250;
    private static final byte[] NO_CHANGE =
            "{\"generation\":41,\"reset\":false,\"instances\":[]}".getBytes(StandardCharsets.UTF_8);

    @Test
    void restartsATimedOutCallToAServiceInTimeForAResponse() {
        for (long pollIntervalSeconds : new long[] {1, 2, 4, 10, 20, 60}) {
            for (long seed = 1; seed <= 20; seed++) {
                WatchHarness harness = new WatchHarness(false, pollIntervalSeconds * 1_000_000, seed);
                harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
                DiscoveryCall timedOut = harness.awaitCall(2);
                int disconnectsBefore = harness.disconnectCount;
                long notifiedMillis = timedOut.atMillis() + timedOut.waitMillis() + PollSchedule.NOTIFIED_AFTER_MILLIS;
                DiscoveryCall restarted = harness.awaitCall(3);
                String context = "poll interval " + pollIntervalSeconds + " s, seed " + seed + ": " + restarted;
                assertTrue(notifiedMillis + GRACE_MILLIS - restarted.atMillis() >= 1_700, context);
                assertEquals(0, restarted.waitMillis(), context + ": its response must not wait for a change");
                assertTrue(
                        harness.disconnectCount > disconnectsBefore,
                        "the connection of the timed out call must not be used again");
                assertEquals(
                        List.of(),
                        harness.failedMillis,
                        "a single timeout is not a failure, because the balancer would back off");
                harness.runUntilMillis(notifiedMillis + 1);
                assertEquals(
                        1,
                        harness.failedMillis.size(),
                        context + ": the balancer must be notified of a second timeout in a row");
            }
        }
    }

    /** In either order of the two, the list is accepted or is requested again from the same version. */
    @Test
    void losesNoChangeIfAResponseAndItsTimeoutCoincide() {
        for (boolean responseFirst : new boolean[] {true, false}) {
            WatchHarness harness = new WatchHarness(false, 10_000_000, 5);
            harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
            DiscoveryCall lateCall = harness.awaitCall(2);
            long timeoutMillis = lateCall.atMillis() + lateCall.waitMillis() + 500;
            harness.runUntilMillis(responseFirst ? timeoutMillis - 1 : timeoutMillis);
            lateCall.listener()
                    .onResponse(
                            200,
                            new String(NO_CHANGE, StandardCharsets.UTF_8)
                                    .replace("41", "42")
                                    .getBytes(StandardCharsets.UTF_8),
                            true);
            DiscoveryCall next = harness.awaitCall(3);
            assertTrue(next.uri().contains("?index=" + (responseFirst ? 42 : 41) + "&wait="), next.uri());
            harness.runUntilMillis(timeoutMillis + 1);
            assertEquals(3, harness.calls.size(), "the timeout of a completed call must not end the next call");
            assertEquals(List.of(), harness.failedMillis);
        }
    }

    /** When an agent responds again, its changes count as notified at once, so a call must be open by then. */
    @Test
    void restartsEveryTimedOutCallToAnAgentAtOnce() {
        WatchHarness harness = new WatchHarness(true, 10_000_000, 7);
        harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
        DiscoveryCall timedOut = harness.awaitCall(2);
        assertTrue(timedOut.waitMillis() <= 1_000, timedOut.uri());
        long previousMillis = timedOut.atMillis() + timedOut.waitMillis();
        harness.runUntilMillis(previousMillis + 8_000);
        for (DiscoveryCall call : harness.calls.subList(2, harness.calls.size())) {
            assertTrue(
                    call.atMillis() - previousMillis <= 300,
                    "no call for " + (call.atMillis() - previousMillis) + " ms");
            previousMillis = call.atMillis();
        }
        assertTrue(harness.calls.size() > 25, harness.calls.size() + " calls in 8 s");
    }

    /** A growing backoff could end long after the agent responds again. */
    @Test
    void retriesAFailingAgentWithoutGrowingBackoff() {
        WatchHarness harness = new WatchHarness(true, 10_000_000, 7);
        for (int i = 1; i <= 40; i++) {
            harness.awaitCall(i).listener().onFailure("no connection");
            long delayMillis = harness.awaitCall(i + 1).atMillis()
                    - harness.calls.get(i - 1).atMillis();
            assertTrue(delayMillis >= 50 && delayMillis <= 250, "retried after " + delayMillis + " ms");
        }
    }

    /** The list of the new service counts as notified 4 s after the address change. */
    @Test
    void restartsATimedOutCallInTimeAfterAnAddressChange() {
        for (boolean selfPolling : new boolean[] {false, true}) {
            WatchHarness harness = new WatchHarness(selfPolling, 10_000_000, 3);
            harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
            harness.runUntilMillis(3_000);
            long changedMillis = harness.currentMicros / 1000;
            int callCount = harness.calls.size();
            harness.watch.onAddressChanged();
            assertEquals("/registry/instances", harness.awaitCall(callCount + 1).uri());
            DiscoveryCall restarted = harness.awaitCall(callCount + 2);
            assertEquals("/registry/instances", restarted.uri());
            assertTrue(
                    PollSchedule.ADDRESS_CHANGE_NOTIFIED_AFTER_MILLIS
                                    + GRACE_MILLIS
                                    - (restarted.atMillis() - changedMillis)
                            >= 1_100,
                    "restarted " + (restarted.atMillis() - changedMillis) + " ms after the address change");
            assertEquals(List.of(), harness.failedMillis);
        }
    }

    /**
     * A call may fail because it waited too long in discovery's queue; the balancer's backoff would take too long then.
     */
    @Test
    void restartsAFailedCallOnceAfterAnAddressChange() {
        WatchHarness harness = new WatchHarness(false, 10_000_000, 3);
        harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
        harness.runUntilMillis(3_000);
        int callCount = harness.calls.size();
        harness.watch.onAddressChanged();
        harness.awaitCall(callCount + 1).listener().onResponse(503, new byte[0], true);
        assertEquals(3_000, harness.awaitCall(callCount + 2).atMillis());
        assertEquals(List.of(), harness.failedMillis);
        harness.calls.get(callCount + 1).listener().onResponse(503, new byte[0], true);
        assertEquals(List.of(3_000L), harness.failedMillis);
    }

    /** A discovery service that was restored from a backup may not know the version that the watch continues from. */
    @Test
    void requestsTheCompleteListAfterItsVersionIsRejected() {
        for (boolean selfPolling : new boolean[] {false, true}) {
            for (int status : new int[] {400, 404, 410, 416, 408, 429, 500, 503}) {
                WatchHarness harness = new WatchHarness(selfPolling, 10_000_000, 3);
                harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
                harness.awaitCall(2).listener().onResponse(status, new byte[0], true);
                if (!selfPolling) {
                    harness.watch.poll();
                }
                boolean rejected = status < 500 && status != 408 && status != 429;
                String context =
                        "status " + status + ": " + harness.awaitCall(3).uri();
                assertEquals(rejected, harness.awaitCall(3).uri().equals("/registry/instances"), context);
            }
        }
    }

    /** A watch that ended would leave the former list in use without a limit of time. */
    @Test
    void goesOnAfterAListThatCouldNotBeApplied() {
        for (boolean selfPolling : new boolean[] {false, true}) {
            WatchHarness harness = new WatchHarness(selfPolling, 10_000_000, 3);
            harness.awaitCall(1).listener().onResponse(200, NO_CHANGE, true);
            harness.listError = new IllegalStateException("thrown by the test");
            harness.awaitCall(2).listener().onResponse(200, NO_CHANGE, true);
            harness.listError = null;
            if (!selfPolling) {
                assertEquals(1, harness.failedMillis.size(), "the balancer must poll again after its backoff");
                harness.watch.poll();
            }
            assertEquals("/registry/instances", harness.awaitCall(3).uri());
            assertTrue(
                    harness.calls.get(2).atMillis() - harness.calls.get(1).atMillis() >= (selfPolling ? 50 : 0),
                    "a list that fails each time must not be requested without a pause");
        }
    }

    @Test
    void drawsDifferentWaitsForDifferentSeeds() {
        Set<Long> waits = new HashSet<>();
        for (long seed = 1; seed <= 50; seed++) {
            long waitMillis =
                    new WatchHarness(false, 10_000_000, seed).awaitCall(1).waitMillis();
            assertTrue(waitMillis >= 7_500 && waitMillis <= 10_000, "waits " + waitMillis + " ms");
            waits.add(waitMillis);
        }
        assertTrue(waits.size() > 40, waits.size() + " different waits of 50");
    }
}
