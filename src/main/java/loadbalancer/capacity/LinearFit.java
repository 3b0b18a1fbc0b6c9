package loadbalancer.capacity;

import java.util.Locale;

/**
 * A line fitted to measured points by least squares.
 *
 * @param intercept value at size 0
 * @param slope increase of the value per unit of size
 * @param residual largest vertical distance of a point from the line, as a fraction of the largest absolute value; 0 if
 *     all points are on it
 */
public record LinearFit(double intercept, double slope, double residual) {
    /**
     * Fits a line to points.
     *
     * @param x sizes, of which at least two differ
     * @param y the value at each size
     * @throws IllegalArgumentException if these points determine no line
     */
    public static LinearFit of(double[] x, double[] y) {
        if (x.length != y.length || x.length < 2) {
            throw new IllegalArgumentException(
                    x.length + " sizes and " + y.length + " values, expected as many values as sizes, at least 2");
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
            throw new IllegalArgumentException("all sizes are " + meanX + ", expected at least two different ones");
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
        double largestDistance = 0;
        double largestValue = 0;
        for (int i = 0; i < x.length; i++) {
            largestDistance = Math.max(largestDistance, Math.abs(y[i] - intercept - slope * x[i]));
            largestValue = Math.max(largestValue, Math.abs(y[i]));
        }
        return largestValue == 0 ? 0 : largestDistance / largestValue;
    }

    /** The value of the line at a size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.4g + %.4g per unit of size, residual %.3f", intercept, slope, residual);
    }
}
