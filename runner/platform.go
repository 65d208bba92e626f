package runner

import (
	"math/rand/v2"
	"net/http"

	"hemlocktally/configurator"
	"hemlocktally/registrar"
	"hemlocktally/storer"
)

// assemblePlatform makes the parts that speak to the platform, and to peers
// about membership and configuration.
func (d *Daemon) assemblePlatform() {
	d.store = &storer.Client{
		BaseURL: d.Settings.Platform.Store, Token: d.Settings.Platform.Key, Timeout: d.Settings.Platform.Timeout,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: d.storeTraffic.through(d.sockets.dial)}}, Log: d.Log,
	}
	d.controlHTTP = d.peerClient()
	d.configurator = &configurator.Configurator{Store: d.store, Self: d.self.ID, HTTP: d.controlHTTP, Log: d.Log}
	d.registrar = &registrar.Registrar{
		Store: d.store, Self: d.self, Configuration: d.configurator, ActiveRevision: d.configurator.ActingRevision, HTTP: d.controlHTTP,
		InstanceList: d.Settings.Platform.InstanceList, Seed: rand.Uint64(), OnSizeChange: d.store.SetFleetSize, Log: d.Log,
	}
	d.configurator.Members = d.registrar
}
