package promoter

import (
	"context"
	"errors"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Names translates the names of entries.
type Names interface {
	RolloutRecordKey(service hemlocktally.ServiceName) string
	RolloutStatus(service hemlocktally.ServiceName, phase hemlocktally.RolloutPhase, version hemlocktally.SoftwareVersion) (key string, value []byte, ok bool)
	SameRolloutStatus(a, b []byte) bool
}

// Writer executes the commands of states that concern the store.
type Writer struct {
	Directory hemlocktally.Directory
	Names     Names
	Log       logger.Logger
}

const (
	// writeTimeout limits one call of the store. It is short, since a write that got no answer is
	// read back by the next one.
	writeTimeout = 600 * time.Millisecond
	// statusTries is how often the status is written over one that another instance has written.
	statusTries = 3
)

// Execute makes the calls of the store for one command, and returns the message for the state.
func (w *Writer) Execute(service hemlocktally.ServiceName, command any) any {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	switch command := command.(type) {
	case WriteCmd:
		return w.writeRecord(ctx, service, command)
	case StatusCmd:
		err := w.writeStatus(ctx, service, command)
		if err != nil {
			w.logFailure(service, err)
		}
		return StatusMsg{Phase: command.Phase, Version: command.Version, Written: err == nil}
	}
	return TickMsg{}
}

func (w *Writer) writeRecord(ctx context.Context, service hemlocktally.ServiceName, command WriteCmd) any {
	value, err := command.Record.Encode()
	if err != nil {
		w.logFailure(service, err)
		return WriteFailedMsg{}
	}
	version, err := w.Directory.CompareAndSwap(ctx, hemlocktally.Entry{
		Key: w.Names.RolloutRecordKey(service), Value: value, Version: command.Expected,
	})
	var conflict *hemlocktally.ConflictError
	switch {
	case errors.As(err, &conflict):
		return ConflictMsg{Version: conflict.Current.Version, Value: conflict.Current.Value}
	case err != nil:
		w.logFailure(service, err)
		return WriteFailedMsg{}
	}
	return WrittenMsg{Sequence: command.Record.Sequence, Version: version}
}

// writeStatus writes the status over whatever is there. A write whose response was lost is found by
// the conflict of the next try.
func (w *Writer) writeStatus(ctx context.Context, service hemlocktally.ServiceName, command StatusCmd) error {
	key, value, ok := w.Names.RolloutStatus(service, command.Phase, command.Version)
	if !ok {
		return nil
	}
	entry := hemlocktally.Entry{Key: key, Value: value}
	var err error
	for range statusTries {
		_, err = w.Directory.CompareAndSwap(ctx, entry)
		var conflict *hemlocktally.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if w.Names.SameRolloutStatus(conflict.Current.Value, value) {
			return nil
		}
		entry.Version = conflict.Current.Version
	}
	return err
}

func (w *Writer) logFailure(service hemlocktally.ServiceName, err error) {
	w.Log.Log(logger.EventRolloutNotWritten, logger.Fields{"Service": service, "Cause": err.Error()})
}
