package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// Page returns the tables in Markdown, what breaks its budget first.
func Page(s Slopes, z Size) string {
	rows := Rows(s, z)
	var b strings.Builder
	writeTotals(&b, Totals(rows, s, z))
	writeRows(&b, "What a node costs, by role", rows)
	writeRows(&b, "Events", Events(s, z))
	writeSlopes(&b, s)
	return b.String()
}

func writeTotals(b *strings.Builder, totals []Total) {
	sort.SliceStable(totals, func(i, j int) bool {
		return totals[i].Value/totals[i].Budget > totals[j].Value/totals[j].Budget
	})
	b.WriteString("## Against the budgets, the tightest first\n\n")
	b.WriteString("| what | at the expected size | budget | share of it |\n| --- | ---: | ---: | ---: |\n")
	for _, t := range totals {
		over := ""
		if t.Value > t.Budget {
			over = " **over**"
		}
		fmt.Fprintf(b, "| %s | %s %s | %s | %.0f%%%s |\n", t.Name, format(t.Value), t.Unit, format(t.Budget), 100*t.Value/t.Budget, over)
	}
	b.WriteString("\n")
}

func writeRows(b *strings.Builder, title string, rows []Row) {
	fmt.Fprintf(b, "## %s\n\n| role or event | what | value | unit | basis | mechanism |\n| --- | --- | ---: | --- | --- | --- |\n", title)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.Role, r.Quantity, format(r.Value), r.Unit, r.Basis, r.Mechanism)
	}
	b.WriteString("\n")
}

func writeSlopes(b *strings.Builder, s Slopes) {
	b.WriteString("## Measured slopes\n\n| part | unit | at sizes | figures | slope for each | residual |\n| --- | --- | --- | --- | ---: | ---: |\n")
	for _, l := range s.List() {
		var sizes, values []string
		for _, p := range l.Points {
			sizes = append(sizes, fmt.Sprintf("%.0f", p.Size))
			values = append(values, format(p.Value))
		}
		fmt.Fprintf(b, "| %s | %s | %s %s | %s | %s | %.0f%% |\n", l.Name, l.Unit, strings.Join(sizes, ", "), l.Per,
			strings.Join(values, ", "), format(l.Line.Slope), 100*l.Line.Residual)
	}
	fmt.Fprintf(b, "\nA node's record with eight targets has %.0f bytes between nodes, a change's record %.0f.\n", s.RecordBytes, s.ChangeBytes)
}
