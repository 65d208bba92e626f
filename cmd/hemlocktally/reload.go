package main

import (
	"os"
	"os/signal"
	"syscall"

	"hemlocktally/logger"
)

// noteReloads checks the settings file again at each SIGHUP until the process
// ends. It never lets go of the signal: that would end the process, and with it
// the calls that a planned stop still finishes.
func noteReloads(check func() error, path string, log logger.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			cause := ""
			if err := check(); err != nil {
				cause = err.Error()
			}
			log.Log(logger.EventSettingsChecked, logger.Fields{"File": path, "Cause": cause})
		}
	}()
}
