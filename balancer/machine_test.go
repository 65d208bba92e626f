package balancer

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// loadSections loads settings with further sections behind those that are required.
func loadSections(t *testing.T, sections string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "balance.ini")
	text := "[Instance]\nID = e\nZone = a\n[Listen]\nCallers = 127.0.0.1:1\nReady = 127.0.0.1:2\nPeers = 127.0.0.1:3\n[Platform]\nStore = 127.0.0.1:4\n"
	qt.Assert(t, os.WriteFile(path, []byte(text+sections), 0o600), qt.IsNil)
	return Load(path)
}

// A deployment that does not name its memory and descriptors leaves the template's fields empty.
func TestEmptyMachineSettingsAreDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := loadSections(t, "[Machine]\nMemoryMB =\nDescriptors =\n[Callers]\nMemoryMB =\nConnections =\n")
	c.Assert(err, qt.IsNil)
	c.Check(s.targetConnections(), qt.Equals, 0)
	c.Check(s.Callers.MinBodyRate, qt.Equals, defaultMinBodyRate)
}

// The parts of the machine must not add up to more than it has.
func TestMachineIsDivided(t *testing.T) {
	c := qt.New(t)
	s, err := loadSections(t, "[Machine]\nMemoryMB = 136\nDescriptors = 2870\n")
	c.Assert(err, qt.IsNil)
	machine := s.Machine.memoryBytes()
	c.Check(machine, qt.Equals, int64(136<<20))
	c.Check(runtimeBytes(machine)+programBytes < machine, qt.IsTrue)
	c.Check(s.callerBytes() < runtimeBytes(machine)/2, qt.IsTrue)
	c.Check(s.callerConnections(), qt.Equals, 1780)
	c.Check(s.callerConnections()+s.targetConnections()+2*s.otherConnections()+internalConnections+ReservedDescriptors <= 2870, qt.IsTrue)
	c.Check(s.targetConnections() > 700, qt.IsTrue)
	s.Callers.MemoryMB, s.Callers.Connections = 10, 77
	c.Check(s.callerBytes(), qt.Equals, int64(10<<20))
	c.Check(s.callerConnections(), qt.Equals, 77)
}

// Numbers that can't be meant are reported with their key.
func TestMachineSettingsAreChecked(t *testing.T) {
	c := qt.New(t)
	_, err := loadSections(t, "[Machine]\nMemoryMB = 3\nDescriptors = 20\n[Callers]\nMemoryMB = 1\nConnections = 3\nMinBodyRate = 99999999\n")
	c.Check(err, qt.ErrorMatches, `(?s).*\[Callers\] MemoryMB.*\[Callers\] Connections.*\[Callers\] MinBodyRate.*\[Machine\] MemoryMB.*\[Machine\] Descriptors.*`)
}
