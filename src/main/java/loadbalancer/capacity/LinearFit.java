package loadbalancer.capacity;

import java.util.Locale;

/**
 * A line through measured points by least squares, with what it leaves unexplained.
 *
 * @param intercept value at size 0
 * @param slope     growth with each unit of size
 * @param residual  the largest distance of a point from the line, as a part of the largest value; 0 where all are on it
 */
public record LinearFit(double intercept, double slope, double residual) {
    /**
     * @param x sizes, at least two of them different
     * @param y a value for each
     * @throws IllegalArgumentException where no line can be told from these points
     */
    public static LinearFit of(double[] x, double[] y) {
        if (x.length != y.length || x.length < 2) {
            throw new IllegalArgumentException(x.length + " sizes and " + y.length + " values make no line");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < x.length; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("all sizes are " + meanX + ": they make no line");
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        return new LinearFit(intercept, slope, residual(x, y, intercept, slope));
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    private static double residual(double[] x, double[] y, double intercept, double slope) {
        double worst = 0;
        double largest = 0;
        for (int i = 0; i < x.length; i++) {
            worst = Math.max(worst, Math.abs(y[i] - intercept - slope * x[i]));
            largest = Math.max(largest, Math.abs(y[i]));
        }
        return largest == 0 ? 0 : worst / largest;
    }

    /** What the line says at this size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.4g + %.4g a member, residual %.3f", intercept, slope, residual);
    }
}
