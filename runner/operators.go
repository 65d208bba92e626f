package runner

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"hemlocktally"
	"hemlocktally/commander"
	"hemlocktally/interpreter"
	"hemlocktally/logger"
)

const (
	// maxChangeBytes bounds the document of one change.
	maxChangeBytes = 8 << 20
	// maxStatementBytes bounds one statement.
	maxStatementBytes = 16 << 10
	// maxOffered bounds how many commands wait at once on one instance.
	maxOffered = 64
)

// serveOperators answers operators, and the platform's balancer at /ready.
func (d *Daemon) serveOperators(ctx context.Context) error {
	guarded := http.NewServeMux()
	guarded.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.configurator.Current())
	})
	guarded.HandleFunc("GET /metrics", d.serveMetrics)
	guarded.HandleFunc("GET /histograms", d.serveHistograms)
	guarded.HandleFunc("POST /ask", d.serveAsk)
	guarded.HandleFunc("POST /tell", d.serveTell)
	guarded.HandleFunc("POST /change", d.serveChange)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", d.serveReady)
	mux.Handle("/", d.requireOperator(guarded))
	return d.serveSecure(ctx, d.server(mux), d.Listeners.Operators)
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// requireOperator turns away requests without an operator's key. All keys are
// compared, in constant time, so that the time tells nothing about them.
func (d *Daemon) requireOperator(next http.Handler) http.Handler {
	digests := map[string][sha256.Size]byte{}
	for name, key := range d.Settings.Operators() {
		digests[name] = sha256.Sum256([]byte(key))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		operator := ""
		for name, want := range digests {
			if subtle.ConstantTimeCompare(shown[:], want[:]) == 1 {
				operator = name
			}
		}
		if operator == "" {
			d.Log.Log(logger.EventOperatorUnauthorized, logger.Fields{"Address": r.RemoteAddr, "Path": r.URL.Path})
			writeFault(w, http.StatusUnauthorized, &commander.Fault{Kind: commander.FaultKey, Detail: "the operator's key is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// readStatement reads one statement, or answers why it can't.
func readStatement(w http.ResponseWriter, r *http.Request) (string, interpreter.Statement, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStatementBytes))
	if err != nil {
		writeFault(w, http.StatusRequestEntityTooLarge, &commander.Fault{Kind: commander.FaultSyntax, Detail: err.Error()})
		return "", nil, false
	}
	statement, err := interpreter.Parse(string(body))
	if err != nil {
		writeFault(w, http.StatusBadRequest, commander.FaultOf(err))
		return "", nil, false
	}
	return string(body), statement, true
}

func (d *Daemon) serveAsk(w http.ResponseWriter, r *http.Request) {
	_, statement, ok := readStatement(w, r)
	if !ok {
		return
	}
	switch statement := statement.(type) {
	case interpreter.Query:
		writeJSON(w, http.StatusOK, d.inspector.Ask(r.Context(), statement))
	case interpreter.ExplainRequest:
		writeJSON(w, http.StatusOK, d.inspector.Explain(r.Context(), statement))
	default:
		writeFault(w, http.StatusBadRequest, &commander.Fault{Kind: commander.FaultSyntax, Detail: "this is a command; send it to /tell"})
	}
}

func (d *Daemon) serveTell(w http.ResponseWriter, r *http.Request) {
	text, statement, ok := readStatement(w, r)
	if !ok {
		return
	}
	command, ok := statement.(interpreter.Command)
	if !ok {
		writeFault(w, http.StatusBadRequest, &commander.Fault{Kind: commander.FaultSyntax, Detail: "this is a question; send it to /ask"})
		return
	}
	d.follow(w, r, text, command.Because, func(report func(commander.StepMsg)) error {
		return d.commander.Execute(r.Context(), operatorOf(r), command, report)
	})
}

// serveChange takes a change as a document, as contracts files make it.
func (d *Daemon) serveChange(w http.ResponseWriter, r *http.Request) {
	var change hemlocktally.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		writeFault(w, http.StatusBadRequest, &commander.Fault{Kind: commander.FaultSyntax, Detail: err.Error()})
		return
	}
	change.Author = operatorOf(r)
	options := commander.Options{DryRun: r.URL.Query().Has("DryRun"), Wait: r.URL.Query().Has("Wait")}
	d.follow(w, r, "change "+change.ID, change.Because, func(report func(commander.StepMsg)) error {
		return d.commander.Submit(r.Context(), change, options, report)
	})
}

// follow runs a command and streams its steps, one JSON document a line.
func (d *Daemon) follow(w http.ResponseWriter, r *http.Request, text, because string, run func(func(commander.StepMsg)) error) {
	select {
	case d.offers <- struct{}{}:
		defer func() { <-d.offers }()
	default:
		writeFault(w, http.StatusServiceUnavailable, &commander.Fault{Kind: commander.FaultBusy, Detail: "too many commands wait here; try another instance"})
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	lines := json.NewEncoder(w)
	var accepted hemlocktally.Revision
	err := run(func(step commander.StepMsg) {
		if step.Kind == commander.StepAccepted {
			accepted = step.Revision
			d.Log.Log(logger.EventChangeAccepted, logger.Fields{
				"Revision": step.Revision, "Operator": operatorOf(r), "Command": text, "Because": because,
			})
		}
		_ = lines.Encode(step)
		_ = http.NewResponseController(w).Flush()
	})
	if err == nil {
		return
	}
	d.logFailure(r, text, accepted, err)
	if accepted == 0 {
		writeFault(w, faultStatus(err), commander.FaultOf(err))
		return
	}
	_ = lines.Encode(commander.StepMsg{Kind: commander.StepFailed, Revision: accepted, Detail: err.Error()})
}

func (d *Daemon) logFailure(r *http.Request, text string, accepted hemlocktally.Revision, err error) {
	if accepted > 0 {
		d.Log.Log(logger.EventChangeLate, logger.Fields{"Revision": accepted, "Operator": operatorOf(r), "Cause": err.Error()})
		return
	}
	d.Log.Log(logger.EventChangeRefused, logger.Fields{"Operator": operatorOf(r), "Command": text, "Cause": err.Error()})
}

func faultStatus(err error) int {
	var race *hemlocktally.RevisionConflictError
	var bad *hemlocktally.ChangeError
	var plan *interpreter.PlanError
	switch {
	case errors.As(err, &race):
		return http.StatusConflict
	case errors.As(err, &bad), errors.As(err, &plan):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeFault(w http.ResponseWriter, status int, fault *commander.Fault) {
	writeJSON(w, status, fault)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
