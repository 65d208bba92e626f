package dialer

// makeRoom keeps the number of links within MaxLinks before one of the pool, which is already
// counted, is dialed: it has the oldest idle link of the pool with the most closed. If none is
// idle, the link is not dialed. The Dialer is locked.
func (d *Dialer) makeRoom(p *pool, result *takeResult) {
	total := 0
	var most *pool
	for _, other := range d.pools {
		total += other.total
		if len(other.idle) > 0 && (most == nil || len(other.idle) > len(most.idle)) {
			most = other
		}
	}
	switch {
	case total <= d.MaxLinks:
	case most != nil:
		result.toClose = append(result.toClose, most.idle[0])
		most.idle = most.idle[1:]
		most.total--
	default:
		p.releaseSlot()
		result.dial, result.full = false, true
	}
}
