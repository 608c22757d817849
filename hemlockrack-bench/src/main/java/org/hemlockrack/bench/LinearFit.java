package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A least-squares line through measured points.
 *
 * @param name name of the figure, with the unit of y as a suffix
 * @param points the measured points
 * @param perUnit rise of y for one more x
 * @param base value at x = 0
 */
record LinearFit(String name, List<Point> points, double perUnit, double base) {
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

        /** Fits the line, prints it and its value at the full size. */
        LinearFit print(double full) {
            LinearFit slope = fit(mName, mPoints);
            slope.print(full);
            return slope;
        }
    }

    static Series points(String name) {
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

    double at(double x) {
        return base + perUnit * x;
    }

    private void print(double full) {
        double largestX = 0;
        double largestY = 0;
        double worst = 0;
        StringBuilder rows = new StringBuilder();
        for (Point point : points) {
            double residual = point.y() - at(point.x());
            largestX = Math.max(largestX, point.x());
            largestY = Math.max(largestY, Math.abs(point.y()));
            worst = Math.max(worst, Math.abs(residual));
            rows.append(
                    String.format(
                            Locale.ROOT,
                            "  %12.0f %14.3f %+14.3f%n",
                            point.x(),
                            point.y(),
                            residual));
        }
        System.out.printf(Locale.ROOT, "%n%s: x, measured, residual%n%s", name, rows);
        value("slope", perUnit);
        value("base", base);
        value("worst_residual_percent_of_largest", 100 * worst / Math.max(largestY, 1e-12));
        value("at_full_size", at(full));
        value("full_size_over_largest_point", full / largestX);
    }

    private void value(String what, double value) {
        System.out.printf(Locale.ROOT, "%s_%s=%.6g%n", name, what, value);
    }
}
