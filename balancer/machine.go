package balancer

import (
	"cmp"
	"io/fs"
	"math"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"hemlocktally/acceptor"
	"hemlocktally/logger"
	"hemlocktally/reserver"
)

// How the machine's memory and descriptors are divided.
const (
	// ReservedDescriptors is the part of [Machine] Descriptors that is for files.
	ReservedDescriptors = 200
	// programBytes is the memory of the program itself, which the runtime's limit does not cover:
	// an idle instance has 22 MiB resident, 8 of them in the heap and in stacks.
	programBytes = 16 << 20
	// runtimeShare is the part of the machine's memory up to which the runtime may grow. Its limit
	// is a soft one, which the heap exceeds for a moment under load.
	runtimeShare = 0.8
	// callerShare is the part of the runtime's memory that callers may use. The rest is for the
	// picture of the fleet and for what the garbage collector has not freed yet.
	callerShare = 0.45
	// callerConnections is the part of the descriptors that callers may use. Each call may need
	// a connection to a target, and up to eight idle ones are kept for each target.
	callerConnections = 2.0 / 3
	// connectionShare is the part of the budget that connections without a request may use.
	connectionShare = 0.75
	// otherConnections limits the connections for readiness, and those for metrics.
	otherConnections = 64
	otherShare       = 16
	// internalConnections is what the store, other instances, listeners and the runtime need.
	internalConnections  = 32
	minTargetConnections = 16
	bytesPerMB           = 1 << 20
	// unlimitedBytes is more than any machine has; cgroups without a limit name such a number.
	unlimitedBytes = 1 << 50
)

// memoryBytes returns the memory that the instance may use, or zero if it is not known.
func (m MachineSettings) memoryBytes() int64 {
	if m.MemoryMB > 0 {
		return int64(m.MemoryMB * bytesPerMB)
	}
	cgroups := os.DirFS("/sys/fs/cgroup")
	for _, file := range []string{"memory.max", "memory/memory.limit_in_bytes"} { // Version 2 and version 1.
		text, err := fs.ReadFile(cgroups, file)
		if err != nil {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 && n < unlimitedBytes {
			return n
		}
	}
	return 0
}

// runtimeBytes returns the part of the machine's memory that the runtime manages.
func runtimeBytes(machine int64) int64 {
	return max(int64(runtimeShare*float64(machine))-programBytes, machine/4)
}

// LimitMemory sets the runtime's soft memory limit from the machine's memory, so that garbage
// is collected before the machine's memory is used up. It does nothing if that is not known or
// GOMEMLIMIT is set.
func (s Settings) LimitMemory() {
	if machine := s.Machine.memoryBytes(); machine > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(runtimeBytes(machine))
	}
}

// callerBytes returns the budget for what callers make the instance hold, or zero for none.
func (s Settings) callerBytes() int64 {
	if s.Callers.MemoryMB > 0 {
		return int64(s.Callers.MemoryMB * bytesPerMB)
	}
	machine := s.Machine.memoryBytes()
	if machine == 0 {
		return 0
	}
	return max(minCallerMB*bytesPerMB, int64(callerShare*float64(runtimeBytes(machine))))
}

// callerConnections returns how many connections callers may have open, or zero for no limit.
func (s Settings) callerConnections() int {
	if s.Callers.Connections > 0 {
		return s.Callers.Connections
	}
	limit := 0
	if s.Machine.Descriptors > 0 {
		limit = max(minConnections, int(callerConnections*float64(s.Machine.Descriptors-ReservedDescriptors)))
	}
	if budget := s.callerBytes(); budget > 0 {
		byMemory := max(minConnections, int(connectionShare*float64(budget)/reserver.ConnectionCost))
		limit = min(cmp.Or(limit, byMemory), byMemory)
	}
	return limit
}

// otherConnections returns how many connections each of the other listeners may have open.
func (s Settings) otherConnections() int {
	if s.Machine.Descriptors == 0 {
		return otherConnections
	}
	return min(otherConnections, max(1, (s.Machine.Descriptors-ReservedDescriptors)/otherShare))
}

// targetConnections returns how many connections to targets may be open, or zero for no limit:
// what callers, operators, the store, other instances and listeners leave.
func (s Settings) targetConnections() int {
	if s.Machine.Descriptors == 0 {
		return 0
	}
	left := s.Machine.Descriptors - ReservedDescriptors - s.callerConnections() - 2*s.otherConnections() - internalConnections
	return max(minTargetConnections, left)
}

// setUpReserver sets up the budget of the callers.
func (b *Balancer) setUpReserver() {
	b.reserver.Bytes, b.reserver.Connections = b.Settings.callerBytes(), b.Settings.callerConnections()
	b.reserver.Report = func(kind reserver.Kind, count uint64, client netip.Addr) {
		b.Log.Log(logger.EventCallerRefused, logger.Fields{"Kind": kind.String(), "Count": count, "Caller": client.String()})
	}
	b.dispatcher.Peers = b.reserver.Shared()
	b.dispatcher.MinBodyRate = int64(b.Settings.Callers.MinBodyRate)
	b.pipeline.Reserver, b.pipeline.HeadLimit = &b.reserver, b.headLimit
}

// headLimit returns the maximum size of a caller's head: the configuration's, or the default.
func (b *Balancer) headLimit() int {
	if n := b.follower.Current().Limits.HeaderBytes; n > 0 {
		return int(min(n, math.MaxInt32))
	}
	return maxHeaderBytes
}

// limitConnections limits the connections of a listener for operators and the platform.
func (b *Balancer) limitConnections(listener net.Listener) net.Listener {
	if listener == nil {
		return nil
	}
	return acceptor.LimitedListener{Listener: listener, Reserver: &reserver.Reserver{Connections: b.Settings.otherConnections()}}
}
