package runner

import (
	"net/http"

	"hemlocktally"
	"hemlocktally/commander"
	"hemlocktally/inspector"
	"hemlocktally/interpreter"
	"hemlocktally/recorder"
)

// assembleInspection makes the parts that answer operators.
func (d *Daemon) assembleInspection() {
	d.offers = make(chan struct{}, maxOffered)
	d.inspector = &inspector.Inspector{
		Self: d.self.ID, Members: d.registrar, Recorder: d.recorder, HTTP: d.peerHTTP,
		Revision: func() hemlocktally.Revision { return d.configurator.Current().Revision },
		Sources: map[interpreter.Topic]inspector.Source{
			interpreter.TopicConfiguration: d.configurationRows,
			interpreter.TopicRevisions:     d.revisionRows,
			interpreter.TopicInstances:     d.instanceRows,
			interpreter.TopicZones:         d.zoneWorkRows,
			interpreter.TopicTargets:       d.targetRows,
			interpreter.TopicServices:      d.serviceWorkRows,
			interpreter.TopicOwners:        d.ownerWorkRows,
			interpreter.TopicRefusals:      d.refusalRows,
			interpreter.TopicBudgets:       d.budgetRows,
			interpreter.TopicClaims:        d.claimRows,
			interpreter.TopicCalls:         d.callRows,
			interpreter.TopicStore:         d.storeRows,
		},
		LocalSources: map[interpreter.Topic]inspector.Source{
			interpreter.TopicZones:     d.declaredZoneRows,
			interpreter.TopicTargets:   d.declaredTargetRows,
			interpreter.TopicServices:  d.declaredServiceRows,
			interpreter.TopicContracts: d.contractRows,
			interpreter.TopicOwners:    d.ownerRows,
		},
	}
	d.commander = &commander.Commander{Changer: d.configurator}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = d.recorder.WriteMetrics(w, d.gauges())
}

// serveHistograms returns the fleet's merged histograms, for reports.
func (d *Daemon) serveHistograms(w http.ResponseWriter, r *http.Request) {
	text, err := inspector.MarshalDistributions(d.inspector.Distributions(r.Context()))
	if err != nil {
		writeFault(w, http.StatusInternalServerError, &commander.Fault{Kind: commander.FaultStore, Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// gauges are the values that an instance exposes besides its calls.
func (d *Daemon) gauges() []recorder.Metric {
	view := d.registrar.View()
	frozen := 0.0
	if view.Frozen {
		frozen = 1
	}
	peerIn, peerOut := d.peerTraffic.Bytes()
	storeIn, storeOut := d.storeTraffic.Bytes()
	return []recorder.Metric{
		{Name: "revision", Help: "Revision in force.", Type: "gauge", Value: float64(d.configurator.Current().Revision)},
		{Name: "members", Help: "Instances in the view.", Type: "gauge", Value: float64(len(view.Members))},
		{Name: "view_frozen", Help: "1 while the store does not answer.", Type: "gauge", Value: frozen},
		{Name: "store_calls_total", Help: "Calls of the platform's key-value service.", Type: "counter", Value: float64(d.store.Calls())},
		{Name: "claim_ranges_held", Help: "Ranges of keys that the instance holds.", Type: "gauge", Value: float64(d.claimHolder.HeldRanges())},
		{Name: "claim_invariants_broken_total", Help: "Broken promises on claims; must stay 0.", Type: "counter", Value: float64(d.claimHolder.BrokenInvariants())},
		{Name: "owner_invariants_broken_total", Help: "Broken promises of owners; must stay 0.", Type: "counter", Value: float64(d.tally.BrokenInvariants())},
		{Name: "configuration_divergences_total", Help: "Other content offered for a known revision; must stay 0.", Type: "counter", Value: float64(d.configurator.Divergences())},
		{Name: "peer_bytes_in_total", Help: "Bytes read from other instances.", Type: "counter", Value: float64(peerIn)},
		{Name: "peer_bytes_out_total", Help: "Bytes written to other instances.", Type: "counter", Value: float64(peerOut)},
		{Name: "store_bytes_in_total", Help: "Bytes read from the platform.", Type: "counter", Value: float64(storeIn)},
		{Name: "store_bytes_out_total", Help: "Bytes written to the platform.", Type: "counter", Value: float64(storeOut)},
	}
}
