package quarantiner

import (
	"time"

	"hemlocktally"
)

// Messages to the state.
type (
	// CrashMsg reports that a target crashed under a request.
	CrashMsg struct {
		Request hemlocktally.Fingerprint
		Service hemlocktally.ServiceName
		Crash   hemlocktally.TargetCrash
	}
	// ClearMsg reports that a target completed a request, or that operators released it.
	ClearMsg struct {
		Request hemlocktally.Fingerprint
		By      string
	}
	// SuspectsMsg holds what another instance knows.
	SuspectsMsg struct{ Suspects []hemlocktally.Suspect }
	// TrialMsg asks for the trial of a request that was held back long enough.
	TrialMsg struct {
		Request hemlocktally.Fingerprint
		Ticket  string
	}
)

// Commands of the state.
type (
	// HoldCmd reports that a request is held back from now on.
	HoldCmd struct {
		Suspect hemlocktally.Suspect
		Until   time.Time
	}
	// ReleaseCmd reports that a request is held back no longer.
	ReleaseCmd struct{ Suspect hemlocktally.Suspect }
	// ShareCmd asks for the request's reports to be sent to the hubs at once.
	ShareCmd struct{ Request hemlocktally.Fingerprint }
	// GrantTrialCmd grants the trial.
	GrantTrialCmd struct{}
)
