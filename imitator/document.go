package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Route is one route of an operator's document.
type Route struct {
	Name       string
	Prefix     string
	Repeatable bool
	Timeout    string // Timeout and Objective are times such as "2000ms"; empty for none.
	Objective  string
	Rank       int // Rank is 0 for the most urgent.
	Attempts   int // Attempts bounds the targets of one attempt; 0 for no bound.
}

// routeHost is the host of all routes of a Document.
const routeHost = "h"

// Document returns an operator's document by the platform's format: its routes
// all go to one service.
func Document(version int, service string, routes ...Route) string {
	resources := []map[string]any{{
		"resourceType": "services", "metadata": map[string]any{"name": service},
		"spec": map[string]any{"healthPath": "/health", "maxConnections": 220, "coldPerS": 6.5},
	}}
	for _, route := range routes {
		spec := map[string]any{"hostname": routeHost, "prefix": route.Prefix, "service": service, "routeType": "unsafe", "priority": route.Rank}
		if route.Repeatable {
			spec["routeType"] = "safe"
		}
		for name, value := range map[string]string{"timeout": route.Timeout, "targetLatency": route.Objective} {
			if value != "" {
				spec[name] = value
			}
		}
		if route.Attempts > 0 {
			spec["maxAttempts"] = route.Attempts
		}
		resources = append(resources, map[string]any{
			"resourceType": "routes", "metadata": map[string]any{"name": route.Name}, "spec": spec,
		})
	}
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		panic(err) // Maps of texts and numbers can always be written.
	}
	return string(text)
}

// Declare writes an operator's document.
func (d *Directory) Declare(document string) { d.Put("op/config", document) }

// StopZone takes a zone out, or brings it back.
func (d *Directory) StopZone(zone string, out bool) {
	if out {
		d.Put("op/evacuate/"+zone, "{}")
		return
	}
	d.Remove("op/evacuate/" + zone)
}

// Lapse removes the entry of an upstream, as silence does.
func (d *Directory) Lapse(id string) { d.Remove("servers/" + id) }

// SetCall writes what a caller sends with a request of a Document's route.
func SetCall(request *http.Request, id string, deadlineMilliseconds int) {
	request.Host = routeHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMilliseconds))
}

// Sealed reports whether an answer bears the seal that its upstream made of it.
func Sealed(header http.Header, body string) bool {
	return header.Get("Response-Seal") == strconv.Itoa(len(body))
}
