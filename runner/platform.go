package runner

import (
	"net/http"

	"hemlocktally/configurator"
	"hemlocktally/registrar"
	"hemlocktally/storer"
)

// assemblePlatform makes the parts that speak to the platform.
func (d *Daemon) assemblePlatform() {
	d.store = &storer.Client{
		Base: d.Settings.Platform.Store, Key: d.Settings.Platform.Key, Timeout: d.Settings.Platform.Timeout,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: d.storeTraffic.through(d.sockets.dial)}},
	}
	d.registrar = &registrar.Registrar{Store: d.store, Self: d.self}
	d.configurator = &configurator.Configurator{Store: d.store}
}
