package loadbalancer.simulation.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.util.Map;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Plots as SVG: lines over one axis, with the colours that eyes of all kinds tell apart. */
final class Charts {
    private static final int WIDTH = 860, HEIGHT = 280;
    /** Okabe and Ito's palette. */
    private static final Color[] COLOURS = {
        new Color(0x0072b2),
        new Color(0xd55e00),
        new Color(0x009e73),
        new Color(0xcc79a7),
        new Color(0xe69f00),
        new Color(0x56b4e9),
        new Color(0x000000),
        new Color(0x999999)
    };

    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 11);

    /** One line: points, and whether it is only a mark to compare with. */
    record Line(double[] x, double[] y, boolean dashed) {
        /** A value a second. */
        static Line seconds(double[] y, boolean dashed) {
            double[] x = new double[y.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = i;
            }
            return new Line(x, y, dashed);
        }
    }

    private Charts() {}

    static String svg(String title, String xName, String yName, boolean logX, Map<String, Line> lines) {
        XYSeriesCollection all = new XYSeriesCollection();
        XYLineAndShapeRenderer how = new XYLineAndShapeRenderer(true, false);
        int n = 0;
        for (Map.Entry<String, Line> e : lines.entrySet()) {
            XYSeries s = new XYSeries(e.getKey(), false, true);
            for (int i = 0; i < e.getValue().x().length; i++) {
                if (!logX || e.getValue().x()[i] > 0) {
                    s.add(e.getValue().x()[i], e.getValue().y()[i]);
                }
            }
            all.addSeries(s);
            how.setSeriesPaint(n, COLOURS[n % COLOURS.length]);
            how.setSeriesStroke(
                    n,
                    e.getValue().dashed()
                            ? new BasicStroke(
                                    1.2f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {6, 4}, 0)
                            : new BasicStroke(1.6f));
            n++;
        }
        ValueAxis x = logX ? new LogAxis(xName) : new NumberAxis(xName);
        if (x instanceof LogAxis log) {
            log.setTickUnit(new org.jfree.chart.axis.NumberTickUnit(1, new java.text.DecimalFormat("0"), 9));
        }
        NumberAxis y = new NumberAxis(yName);
        y.setAutoRangeIncludesZero(true);
        for (ValueAxis axis : new ValueAxis[] {x, y}) {
            axis.setLabelFont(FONT);
            axis.setTickLabelFont(FONT);
        }
        XYPlot plot = new XYPlot(all, x, y, how);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(new Color(0xdddddd));
        plot.setDomainGridlinePaint(new Color(0xeeeeee));
        plot.setOutlineVisible(false);
        plot.setAxisOffset(RectangleInsets.ZERO_INSETS);
        JFreeChart chart = new JFreeChart(title, FONT.deriveFont(Font.BOLD, 13), plot, true);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getLegend().setItemFont(FONT);
        chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        SVGGraphics2D to = new SVGGraphics2D(WIDTH, HEIGHT);
        // Names within the picture must differ from those of the others on the page, and be the same for the same page.
        to.setDefsKeyPrefix("c" + Integer.toHexString(title.hashCode()));
        chart.draw(to, new java.awt.geom.Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return to.getSVGElement();
    }
}
