package loadbalancer.simulation;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.simulation.scenario.Scenario;

/** The split over kinds of servers that HALO's Eq. (4) gives for the true speeds and the true rate, to be set beside what was sent. */
final class HaloReference {
    private HaloReference() {}

    /** Parts by the machine's name, 1 in all. */
    static Map<String, Double> split(Scenario s) {
        int n = s.machines().size();
        double shares =
                s.machines().stream().mapToDouble(Scenario.Machine::share).sum();
        double[] k = new double[n];
        double[] mu = new double[n];
        for (int i = 0; i < n; i++) {
            Scenario.Machine m = s.machines().get(i);
            k[i] = m.share() / shares * s.fleet().nodes();
            mu[i] = m.cores() * m.speed() / s.workS();
        }
        double[] p = split(k, mu, s.perSecond());
        Map<String, Double> parts = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
            parts.put(s.machines().get(i).name(), p[i]);
        }
        return parts;
    }

    /** {@code k} servers of each kind, each of {@code mu} requests a second; {@code lambda} of them in all. */
    static double[] split(double[] k, double[] mu, double lambda) {
        boolean[] out = new boolean[k.length];
        double[] p = new double[k.length];
        boolean again = true;
        while (again) {
            again = false;
            double roots = 0;
            double sum = 0;
            for (int i = 0; i < k.length; i++) {
                roots += out[i] ? 0 : k[i] * Math.sqrt(mu[i]);
                sum += out[i] ? 0 : k[i] * mu[i];
            }
            Arrays.fill(p, 0);
            for (int i = 0; i < k.length; i++) {
                if (!out[i]) {
                    p[i] = k[i]
                            * (mu[i] * roots - Math.sqrt(mu[i]) * sum + lambda * Math.sqrt(mu[i]))
                            / (lambda * roots);
                    if (p[i] < 0) {
                        out[i] = true;
                        again = true;
                    }
                }
            }
        }
        return p;
    }
}
