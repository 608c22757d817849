package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A least-squares line through measured points.
 *
 * @param name name of the figure, with the unit of y as a suffix
 * @param series the measured points
 * @param slope increase of y per unit of x
 * @param intercept value of y at x = 0
 */
record LinearFit(String name, List<Point> series, double slope, double intercept) {
    private static final int MIN_POINTS = 4;

    /** One measured point. */
    record Point(double x, double y) {}

    /** Collects the points of one figure. */
    static final class Series {
        private final String mName;
        private final List<Point> mPoints = new ArrayList<>();

        private Series(String name) {
            mName = name;
        }

        Series add(double x, double y) {
            mPoints.add(new Point(x, y));
            return this;
        }

        /** Fits the line and prints it with its residuals and its value at the full size. */
        LinearFit fitAndPrint(double fullSize) {
            LinearFit line = fit(mName, mPoints);
            line.print(fullSize);
            return line;
        }
    }

    static Series series(String name) {
        return new Series(name);
    }

    /**
     * Fits a line.
     *
     * @param name name of the figure
     * @param points at least four points with different x
     * @return the line
     */
    static LinearFit fit(String name, List<Point> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException(name + " has only " + points.size() + " points");
        }
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double products = 0;
        double squares = 0;
        for (Point point : points) {
            products += (point.x() - meanX) * (point.y() - meanY);
            squares += (point.x() - meanX) * (point.x() - meanX);
        }
        double perUnit = products / squares;
        return new LinearFit(name, List.copyOf(points), perUnit, meanY - perUnit * meanX);
    }

    double valueAt(double x) {
        return intercept + slope * x;
    }

    private void print(double fullSize) {
        double largestX = 0;
        double largestY = 0;
        double maxResidual = 0;
        StringBuilder rows = new StringBuilder();
        for (Point point : series) {
            double residual = point.y() - valueAt(point.x());
            largestX = Math.max(largestX, point.x());
            largestY = Math.max(largestY, Math.abs(point.y()));
            maxResidual = Math.max(maxResidual, Math.abs(residual));
            rows.append(
                    String.format(
                            Locale.ROOT,
                            "  %12.0f %14.3f %+14.3f%n",
                            point.x(),
                            point.y(),
                            residual));
        }
        System.out.printf(Locale.ROOT, "%n%s: x, measured, residual%n%s", name, rows);
        printValue("slope", slope);
        printValue("base", intercept);
        printValue(
                "worst_residual_percent_of_largest", 100 * maxResidual / Math.max(largestY, 1e-12));
        printValue("at_full_size", valueAt(fullSize));
        printValue("full_size_over_largest_point", fullSize / largestX);
    }

    private void printValue(String suffix, double value) {
        System.out.printf(Locale.ROOT, "%s_%s=%.6g%n", name, suffix, value);
    }
}
