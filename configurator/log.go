package configurator

import (
	"hemlocktally"
	"hemlocktally/logger"
)

// log writes the log event of a command, if it has one, and counts divergences.
func (c *Configurator) log(cmd Cmd) {
	switch cmd := cmd.(type) {
	case InForceCmd:
		c.Log.Log(logger.EventConfigurationInForce, logger.Fields{
			"Revision": cmd.Configuration.Revision, "Change": cmd.Configuration.ChangeID,
			"Author": cmd.Configuration.Author, "Source": cmd.Source,
		})
	case DivergenceCmd:
		c.divergent.Add(1)
		c.Log.Log(logger.EventConfigurationDivergent, logger.Fields{
			"Revision": cmd.Revision, "Hash": cmd.Hash, "Source": cmd.Source, "SourceHash": cmd.SourceHash,
		})
	case StopChangedCmd:
		event := logger.EventProvisionalStopResolved
		fields := logger.Fields{"Change": cmd.Stop.ID, "Author": cmd.Stop.Author, "State": cmd.Stop.State, "Cause": cmd.Stop.Detail}
		if cmd.Stop.State == hemlocktally.StopActive {
			event, fields = logger.EventProvisionalStop, logger.Fields{"Change": cmd.Stop.ID, "Author": cmd.Stop.Author}
		}
		c.Log.Log(event, fields)
	}
}
