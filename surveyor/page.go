package surveyor

import (
	"fmt"
	"strings"
)

// The marks around the table that Rewrite replaces in a page.
const (
	beginMark = "<!-- slopes: begin -->"
	endMark   = "<!-- slopes: end -->"
)

// Table returns the series as a table in Markdown, with their values at a size.
func Table(list []Series, size Size) string {
	var b strings.Builder
	b.WriteString("| role | cost | grows with | medians of the runs | intercept + slope × | R² | spread | at the stated size | goal | factor |\n")
	b.WriteString("|---|---|---|---|--:|--:|--:|--:|--:|--:|\n")
	for _, s := range list {
		line := s.Fit()
		at := line.At(size.At(s.Axis))
		goal, factor := "", ""
		if s.Goal > 0 {
			goal, factor = fmt.Sprintf("%.4g", s.Goal), fmt.Sprintf("%.2f", at/s.Goal)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.4g + %.4g | %.3f | %.0f%% | %.4g at %.4g | %s | %s |\n",
			s.Role, s.Cost, s.Axis, medians(s), line.Intercept, line.Slope, line.RSquared, 100*line.Spread, at, size.At(s.Axis), goal, factor)
	}
	return b.String()
}

// medians shows the middle value at each place.
func medians(s Series) string {
	var texts []string
	for _, p := range s.Medians() {
		texts = append(texts, fmt.Sprintf("%g: %.4g", p.X, p.Y))
	}
	return strings.Join(texts, ", ")
}

// Rewrite returns the page with the table between its marks replaced.
func Rewrite(page, table string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMark)
	_, after, closed := strings.Cut(rest, endMark)
	if !ok || !closed {
		return "", Error.New("the page lacks the marks %s and %s", beginMark, endMark)
	}
	return before + beginMark + "\n" + table + endMark + after, nil
}
