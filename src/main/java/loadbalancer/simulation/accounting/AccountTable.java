package loadbalancer.simulation.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.simulation.accounting.FleetAccount.RequestEnd;

/** The text of {@code lab account}. Its wording is part of the command's output and stays as it is. */
final class AccountTable {
    static final String HEADER =
            "  from  asked served%  late% refused% failed%  left%  attempts wasted%  dials refused  probes  calls"
                    + "  avoided healthy  oldest list";

    private AccountTable() {}

    static String line(int fromSecond, SecondTotals totals) {
        long ended = totals.ended();
        long attempts = totals.attempts();
        return String.format(
                Locale.ROOT,
                "%6d %6d %7.1f %6.1f %8.1f %7.1f %6.1f %9d %7.1f %6d %7d %7d %6d %8d %7d %10.1f s",
                fromSecond,
                totals.requests,
                percent(totals.ended(RequestEnd.SERVED), ended),
                percent(totals.ended(RequestEnd.LATE), ended),
                percent(totals.ended(RequestEnd.REJECTED), ended),
                percent(totals.ended(RequestEnd.FAILED), ended),
                percent(totals.ended(RequestEnd.ABANDONED), ended),
                attempts,
                percent(totals.wastedAttempts(), attempts),
                totals.connects,
                totals.refusedConnects,
                totals.healthChecks,
                totals.discoveryPolls,
                totals.ejected,
                totals.ejectedHealthy,
                totals.oldestEndpointListMicros() / 1e6);
    }

    /** Attempts in all, and by the upstream's condition. */
    static List<String> attemptLines(SecondTotals totals) {
        long attempts = totals.attempts();
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "attempts a request %.3f; wasted %.1f %% of %d",
                ratio(attempts, totals.requests),
                percent(totals.wastedAttempts(), attempts),
                attempts));
        for (UpstreamCondition condition : UpstreamCondition.values()) {
            long atCondition = totals.attempts(condition);
            long wasted = totals.wastedAttempts(condition);
            lines.add(String.format(
                    Locale.ROOT,
                    "  at %-10s %8d attempts, %7d wasted (%.1f %%)",
                    condition.description(),
                    atCondition,
                    wasted,
                    percent(wasted, atCondition)));
        }
        return lines;
    }

    /** Connections and health checks; discovery polls and gossip. */
    static List<String> costLines(SecondTotals totals, long maxDiscoveryPolls) {
        return List.of(
                String.format(
                        Locale.ROOT,
                        "dials %d, %.1f %% refused; a connection carried %.1f attempts; probes a request %.3f",
                        totals.connects,
                        percent(totals.refusedConnects, totals.connects),
                        ratio(totals.attempts(), totals.connects - totals.refusedConnects),
                        ratio(totals.healthChecks, totals.requests)),
                String.format(
                        Locale.ROOT,
                        "calls for lists %d, %d in the worst second; words said %d, heard %d, %.2f a request",
                        totals.discoveryPolls,
                        maxDiscoveryPolls,
                        totals.gossipSent,
                        totals.gossipReceived,
                        ratio(totals.gossipReceived, totals.requests)));
    }

    static String ejectionLine(SecondTotals totals, SlowStartLoad slowStartLoad, double allowedMultiple) {
        return String.format(
                Locale.ROOT,
                "avoided at a look: %d, %.1f %% of them healthy; cold upstreams: worst window %.2f of %.2f allowed, mean %.2f",
                totals.ejected,
                percent(totals.ejectedHealthy, totals.ejected),
                slowStartLoad.max(),
                allowedMultiple,
                slowStartLoad.mean());
    }

    private static double percent(long part, long whole) {
        return 100 * ratio(part, whole);
    }

    private static double ratio(long part, long whole) {
        return whole <= 0 ? 0 : (double) part / whole;
    }
}
