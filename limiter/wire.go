package limiter

import (
	"math"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	// maxSlotCount bounds the count of one slot in a message of another instance.
	maxSlotCount = 1e8
	// maxDeparted bounds the departed hubs in a message about one customer.
	maxDeparted = 32
)

func newExchange(m Message) *messenger.QuotaExchange {
	out := &messenger.QuotaExchange{
		Instance: string(m.From), Incarnation: m.Incarnation, Sequence: m.Sequence, KnownMicroseconds: m.Known.Microseconds(), Leaving: m.Leaving,
		Address: m.Address,
	}
	for _, id := range m.Silent {
		out.Silent = append(out.Silent, string(id))
	}
	for _, c := range m.Counts {
		count := &messenger.QuotaCount{
			Customer: string(c.Customer), Recent: c.Recent, Share: uint32(c.Share * shareUnits), Raise: c.Raise,
			Before: uint32(math.Ceil(c.Before)),
		}
		for _, d := range c.Departed {
			count.Departed = append(count.Departed, &messenger.QuotaDeparted{Hub: string(d.Hub), Recent: d.Recent})
		}
		out.Counts = append(out.Counts, count)
	}
	return out
}

// exchanged decodes a message. Numbers beyond their bounds are cut to them.
func exchanged(in *messenger.QuotaExchange) Message {
	m := Message{
		From: hemlocktally.InstanceID(in.GetInstance()), Incarnation: in.GetIncarnation(), Sequence: in.GetSequence(),
		Known: max(0, messenger.Duration(in.GetKnownMicroseconds())), Leaving: in.GetLeaving(), Address: in.GetAddress(),
	}
	for _, id := range in.GetSilent() {
		m.Silent = append(m.Silent, hemlocktally.InstanceID(id))
	}
	counts := in.GetCounts()
	for _, c := range counts[:min(len(counts), maxPeerCounts)] {
		count := Count{
			Customer: hemlocktally.CustomerName(c.GetCustomer()), Recent: boundedSlots(c.GetRecent(), reportSlots),
			Share: min(1, float64(c.GetShare())/shareUnits), Raise: c.GetRaise(), Before: min(float64(c.GetBefore()), maxSlotCount),
		}
		departed := c.GetDeparted()
		for _, d := range departed[:min(len(departed), maxDeparted)] {
			count.Departed = append(count.Departed, Departed{Hub: hemlocktally.InstanceID(d.GetHub()), Recent: boundedSlots(d.GetRecent(), reportSlots)})
		}
		m.Counts = append(m.Counts, count)
	}
	return m
}

// boundedSlots cuts a report to its number of slots and their greatest count.
func boundedSlots(slots []uint32, most int) []uint32 {
	slots = slots[:min(len(slots), most)]
	for i, n := range slots {
		slots[i] = min(n, maxSlotCount)
	}
	return slots
}

// Learn notes what an instance has sent of a customer's calls before this hub started, as far
// as no hub knows it.
func (s *State) Learn(name hemlocktally.CustomerName, from hemlocktally.InstanceID, sent []uint32, now time.Time) {
	known := now.Sub(s.knownSince)
	if known >= s.Bounds.Window || len(sent) == 0 {
		s.told = nil
		return
	}
	a := s.account(name)
	if a == nil || s.told[teller{name, from}] {
		return
	}
	if s.told == nil {
		s.told = map[teller]bool{}
	}
	s.told[teller{name, from}] = true
	slot := s.Bounds.Window / sentSlots
	for i, n := range boundedSlots(sent, sentSlots) {
		if time.Duration(i+1)*slot > known {
			a.before.add(s.bucket(now.Add(-time.Duration(i)*slot)), n)
		}
	}
}

// teller is an instance that told what it sent of a customer's calls.
type teller struct {
	customer hemlocktally.CustomerName
	from     hemlocktally.InstanceID
}
