package registrar

import (
	"fmt"
	"testing"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// BenchmarkIdleSecond measures the updates of one idle instance in one second:
// 20 ticks, the replies to its heartbeats, and as many heartbeats from others.
func BenchmarkIdleSecond(b *testing.B) {
	for _, size := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := &State{Self: hemlocktally.Instance{ID: "self", Incarnation: "1", Zone: "zone-0"}}
			s.Update(RegisteredMsg{Lease: "a", Sent: now, Incarnation: "1"}, now)
			records := RecordsMsg{}
			for i := range size {
				records.Records = append(records.Records, hemlocktally.Instance{
					ID: hemlocktally.InstanceID(fmt.Sprint("entry-", i)), Incarnation: "1", PeerAddress: "10.0.0.1:80",
					Zone: hemlocktally.ZoneName(fmt.Sprint("zone-", i%3)), State: hemlocktally.InstanceServing,
				})
			}
			s.Update(records, now)
			b.ReportAllocs()
			for b.Loop() {
				for range 20 {
					now = now.Add(tickInterval)
					for _, cmd := range s.Update(TickMsg{}, now) {
						heartbeat, ok := cmd.(HeartbeatCmd)
						if !ok || heartbeat.To == "" {
							continue
						}
						report := s.members[heartbeat.To].toProto()
						s.Update(HeartbeatReplyMsg{To: heartbeat.To, Heartbeat: &messenger.BeatMessage{From: report, Digest: s.digest()}}, now)
						s.Update(HeartbeatMsg{Heartbeat: &messenger.BeatMessage{From: report, Digest: s.digest()}}, now)
					}
				}
			}
		})
	}
}
