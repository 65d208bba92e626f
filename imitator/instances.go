package imitator

import (
	"net/http"
	"sort"
	"time"
)

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.init()
	asOf := time.Now().Add(-p.faults.ListLag)
	var lines []ListedInstance
	for _, history := range p.listed {
		for i := len(history) - 1; i >= 0; i-- {
			if !history[i].Since.After(asOf) {
				lines = append(lines, history[i])
				break
			}
		}
	}
	p.mu.Unlock()
	sort.Slice(lines, func(i, j int) bool { return lines[i].Name < lines[j].Name })
	writeJSON(w, http.StatusOK, lines)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var line ListedInstance
	if readJSON(w, r, &line) {
		p.List(line)
	}
}
