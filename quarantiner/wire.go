package quarantiner

import (
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

func newExchange(version, known uint64, list []hemlocktally.Suspect, now time.Time) *messenger.SuspectExchange {
	out := &messenger.SuspectExchange{Version: version, Known: known}
	for _, s := range list {
		out.Suspects = append(out.Suspects, newSuspect(s, now))
	}
	return out
}

func newSuspect(s hemlocktally.Suspect, now time.Time) *messenger.Suspect {
	out := &messenger.Suspect{Request: s.Request[:], Service: string(s.Service)}
	if !s.ClearedAt.IsZero() {
		out.ClearedAgeMicroseconds, out.ClearedBy = now.Sub(s.ClearedAt).Microseconds(), s.ClearedBy
	}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, &messenger.TargetCrash{
			Target: string(c.Target), TargetStarted: c.Started, AgeMicroseconds: now.Sub(c.At).Microseconds(), ReportedBy: string(c.ReportedBy),
		})
	}
	return out
}

// suspects decodes a message. Entries beyond the bounds, or without a fingerprint, are left out.
func suspects(in *messenger.SuspectExchange, now time.Time) []hemlocktally.Suspect {
	var list []hemlocktally.Suspect
	for _, s := range in.GetSuspects()[:min(len(in.GetSuspects()), maxSuspectsTold)] {
		if len(s.GetRequest()) != hemlocktally.FingerprintBytes {
			continue
		}
		suspect := hemlocktally.Suspect{Request: hemlocktally.Fingerprint(s.GetRequest()), Service: hemlocktally.ServiceName(s.GetService())}
		if s.GetClearedBy() != "" {
			suspect.ClearedAt, suspect.ClearedBy = ago(s.GetClearedAgeMicroseconds(), now), s.GetClearedBy()
		}
		for _, c := range s.GetCrashes()[:min(len(s.GetCrashes()), maxCrashes)] {
			suspect.Crashes = append(suspect.Crashes, hemlocktally.TargetCrash{
				Target: hemlocktally.TargetName(c.GetTarget()), Started: c.GetTargetStarted(), At: ago(c.GetAgeMicroseconds(), now),
				ReportedBy: hemlocktally.InstanceID(c.GetReportedBy()),
			})
		}
		list = append(list, suspect)
	}
	return list
}

func ago(microseconds int64, now time.Time) time.Time {
	return now.Add(-messenger.Duration(max(0, microseconds)))
}
