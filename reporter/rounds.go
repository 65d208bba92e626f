package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Round is one measured run over days of a deployment, as its entry in the
// journal tells it.
type Round struct {
	Site  string
	At    time.Time
	Head  string // Head is the commit that was measured.
	Dirty bool   // Dirty says that the sources held more than the commit.
	Why   string
	Score float64
	Gate  bool // Gate says that every day kept the rules and the floors.
	Days  []Day
}

// Day is one day of a round.
type Day struct {
	Name   string
	Gate   bool
	Rules  []string // Rules are those that were broken.
	Parts  []Part
	Prices []Price
}

// Part is one part of a day's credit, from 0 to 1, and its weight.
type Part struct {
	Name   string
	Weight float64
	Credit float64
}

// Price is what one kind of cost took off a day's worth.
type Price struct {
	Name   string
	Amount float64
	Worth  float64
}

// Credit is the weighted credit before prices.
func (d Day) Credit() float64 {
	sum := 0.0
	for _, p := range d.Parts {
		sum += p.Weight * p.Credit
	}
	return sum
}

// Worth is the credit less prices.
func (d Day) Worth() float64 {
	sum := d.Credit()
	for _, p := range d.Prices {
		sum -= p.Worth
	}
	return sum
}

// RoundError says that an entry of the journal can't be read.
type RoundError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *RoundError) Error() string { return fmt.Sprintf("journal entry %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *RoundError) Unwrap() error { return e.Cause }

// Rounds is a report on the rounds of a journal.
type Rounds struct {
	Rounds []Round
}

// ReadRounds reads the entries of a journal that hold a whole score, in the
// order of their times; entries of other commands are left out.
func ReadRounds(journal fs.FS) (Rounds, error) {
	files, err := fs.Glob(journal, "*.json")
	if err != nil {
		return Rounds{}, Error.Wrap(err)
	}
	var out Rounds
	for _, file := range files {
		text, err := fs.ReadFile(journal, file)
		if err != nil {
			return out, Error.Wrap(err)
		}
		round, whole, err := readRound(text)
		if err != nil {
			return out, &RoundError{File: file, Cause: err}
		}
		if whole {
			out.Rounds = append(out.Rounds, round)
		}
	}
	slices.SortStableFunc(out.Rounds, func(a, b Round) int { return a.At.Compare(b.At) })
	return out, nil
}

// journalEntry is what is read of an entry.
type journalEntry struct {
	Command string      `json:"cmd"`
	At      []time.Time `json:"at"` // At holds the times of the begin and end of the run.
	Head    string      `json:"head"`
	Dirty   bool        `json:"dirty"`
	Why     string      `json:"why"`
	Site    string      `json:"site"`
	Score   *float64    `json:"score"`
	Days    []struct {
		Name   string         `json:"name"`
		Gate   bool           `json:"gate"`
		Rules  map[string]any `json:"rules"`
		Parts  []namedPair    `json:"parts"`  // Parts are name, weight and credit.
		Prices []namedPair    `json:"prices"` // Prices are name, amount and worth.
	} `json:"days"`
}

// namedPair is a list of a name and two numbers.
type namedPair struct {
	name   string
	first  float64
	second float64
}

// UnmarshalJSON reads the list.
func (p *namedPair) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.first, &p.second})
}

func readRound(text []byte) (round Round, whole bool, err error) {
	var entry journalEntry
	if err := json.Unmarshal(text, &entry); err != nil {
		return Round{}, false, err
	}
	if entry.Score == nil || len(entry.Days) == 0 || len(entry.At) == 0 {
		return Round{}, false, nil
	}
	round = Round{
		Site: entry.Site, At: entry.At[0].UTC(), Head: entry.Head, Dirty: entry.Dirty,
		Why: entry.Why, Score: *entry.Score, Gate: true,
	}
	for _, day := range entry.Days {
		d := Day{Name: day.Name, Gate: day.Gate}
		for rule := range day.Rules {
			d.Rules = append(d.Rules, rule)
		}
		slices.Sort(d.Rules)
		for _, p := range day.Parts {
			d.Parts = append(d.Parts, Part{Name: p.name, Weight: p.first, Credit: p.second})
		}
		for _, p := range day.Prices {
			d.Prices = append(d.Prices, Price{Name: p.name, Amount: p.first, Worth: p.second})
		}
		round.Gate = round.Gate && day.Gate
		round.Days = append(round.Days, d)
	}
	return round, true, nil
}

func (r Rounds) sites() []string {
	var sites []string
	for _, round := range r.Rounds {
		sites = append(sites, round.Site)
	}
	return unique(sites)
}

func (r Rounds) of(site string) []Round {
	var rounds []Round
	for _, round := range r.Rounds {
		if round.Site == site {
			rounds = append(rounds, round)
		}
	}
	return rounds
}

// standardDays are the days that stand in more than one round, or in the only
// one: days drawn for one run can't be compared.
func standardDays(rounds []Round) []string {
	seen := map[string]int{}
	var names []string
	for _, round := range rounds {
		for _, day := range round.Days {
			seen[day.Name]++
			names = append(names, day.Name)
		}
	}
	return slices.DeleteFunc(unique(names), func(name string) bool { return len(rounds) > 1 && seen[name] == 1 })
}

func (r Round) day(name string) (Day, bool) {
	i := slices.IndexFunc(r.Days, func(d Day) bool { return d.Name == name })
	if i < 0 {
		return Day{}, false
	}
	return r.Days[i], true
}

func (r Round) commit() string {
	const short = 7
	commit := r.Head[:min(short, len(r.Head))]
	if r.Dirty {
		commit += "+"
	}
	return commit
}

// WriteMarkdown writes for each site the worth of each day by round, and what
// was taken off in the last round.
func (r Rounds) WriteMarkdown(w io.Writer) error {
	p := printer{w: w}
	p.printf("# Rounds\n\nWorth of each day: credit less prices, as a share of what was owed. Broken rules stand behind it.\n" +
		"A commit with + was measured together with changes that were not committed.\n")
	for _, site := range r.sites() {
		rounds := r.of(site)
		days := standardDays(rounds)
		p.printf("\n## %s\n\n| time | commit | score | gate | %s | why |\n|---|---|--:|---|%s---|\n", site,
			strings.Join(days, " | "), strings.Repeat("--:|", len(days)))
		for _, round := range rounds {
			p.printf("| %s | %s | %.3f | %s | ", round.At.Format("2006-01-02 15:04"), round.commit(), round.Score, passed(round.Gate))
			for _, name := range days {
				p.printf("%s | ", dayCell(round, name))
			}
			p.printf("%s |\n", strings.ReplaceAll(round.Why, "|", "/"))
		}
		writePrices(&p, rounds[len(rounds)-1], days)
	}
	return Error.Wrap(p.err)
}

func passed(gate bool) string {
	if gate {
		return "passed"
	}
	return "failed"
}

func dayCell(round Round, name string) string {
	day, ok := round.day(name)
	if !ok {
		return "-"
	}
	return strings.TrimSpace(fmt.Sprintf("%.3f %s", day.Worth(), strings.Join(day.Rules, ", ")))
}

// leastPrice is the share of a day's worth from which on a price is shown.
const leastPrice = 0.0005

func writePrices(p *printer, round Round, days []string) {
	p.printf("\nThe last round:\n\n| | %s |\n|---|%s\n| credit |", strings.Join(days, " | "), strings.Repeat("--:|", len(days)))
	for _, name := range days {
		day, _ := round.day(name)
		p.printf(" %.3f |", day.Credit())
	}
	p.printf("\n")
	for _, price := range round.priceNames() {
		p.printf("| %s |", price)
		for _, name := range days {
			p.printf(" %.4f |", round.price(name, price))
		}
		p.printf("\n")
	}
}

// priceNames are the prices that took something off any day.
func (r Round) priceNames() []string {
	var names []string
	for _, day := range r.Days {
		for _, price := range day.Prices {
			if price.Worth >= leastPrice {
				names = append(names, price.Name)
			}
		}
	}
	return unique(names)
}

func (r Round) price(dayName, name string) float64 {
	day, _ := r.day(dayName)
	i := slices.IndexFunc(day.Prices, func(p Price) bool { return p.Name == name })
	if i < 0 {
		return 0
	}
	return day.Prices[i].Worth
}

// WritePlots draws for each site the worth of each day by round and the prices
// of the last round by kind, and returns the files' names.
func (r Rounds) WritePlots(dir string) ([]string, error) {
	var files []string
	for _, site := range r.sites() {
		rounds := r.of(site)
		base := path.Base(site)
		for name, draw := range map[string]func(string, []Round) error{base + "-worth.png": drawWorth, base + "-prices.png": drawPrices} {
			if err := draw(filepath.Join(dir, name), rounds); err != nil {
				return files, err
			}
			files = append(files, name)
		}
	}
	slices.Sort(files)
	return files, nil
}

func drawWorth(file string, rounds []Round) error {
	p := newPlot("Worth of each day by round")
	p.X.Label.Text, p.Y.Label.Text = "round", "worth"
	var lines []any
	for _, name := range standardDays(rounds) {
		var line plotter.XYs
		for i, round := range rounds {
			if day, ok := round.day(name); ok {
				line = append(line, plotter.XY{X: float64(i + 1), Y: day.Worth()})
			}
		}
		lines = append(lines, name, line)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(p.Save(plotWidth, plotHeight, file))
}

// drawPrices stacks the prices of each day.
func drawPrices(file string, rounds []Round) error {
	last := rounds[len(rounds)-1]
	days := standardDays(rounds)
	p := newPlot("Prices of the last round by kind")
	p.Y.Label.Text = "share of the day's worth"
	const barWidth = 1.2 * vg.Centimeter
	var below *plotter.BarChart
	for i, name := range last.priceNames() {
		heights := make(plotter.Values, len(days))
		for n, day := range days {
			heights[n] = last.price(day, name)
		}
		bars, err := plotter.NewBarChart(heights, barWidth)
		if err != nil {
			return Error.Wrap(err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(days...)
	return Error.Wrap(p.Save(plotWidth, plotHeight, file))
}
