package registrar

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
	"hemlocktally/messenger"
)

// report is what an instance reports of itself, at one version.
type report struct {
	instance hemlocktally.Instance
	version  uint64
}

func (r report) toProto() *messenger.Member {
	return &messenger.Member{
		ID: string(r.instance.ID), Incarnation: r.instance.Incarnation, Zone: string(r.instance.Zone),
		CallerAddress: r.instance.CallerAddress, PeerAddress: r.instance.PeerAddress,
		OperatorAddress: r.instance.OperatorAddress, State: string(r.instance.State),
		Revision: uint64(r.instance.Revision), Version: r.version,
	}
}

func reportFromProto(m *messenger.Member) report {
	return report{version: m.GetVersion(), instance: hemlocktally.Instance{
		ID: hemlocktally.InstanceID(m.GetID()), Incarnation: m.GetIncarnation(), Zone: hemlocktally.ZoneName(m.GetZone()),
		CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(), OperatorAddress: m.GetOperatorAddress(),
		State: hemlocktally.InstanceState(m.GetState()), Revision: hemlocktally.Revision(m.GetRevision()),
	}}
}

// digest hashes a report. The digests of several reports are combined by xor.
func (r report) digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(r.instance.ID) + "/" + r.instance.Incarnation + "/" + string(r.instance.State))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, r.version))
	return hash.Sum64()
}
