package policy

// EndProbe ends a probe. A host that is reachable again may have restarted, whatever the list says.
func (h *Host) EndProbe(ok bool) {
	if h.probing = false; ok && h.unreachable {
		h.unreachable, h.ejected, h.backoff, h.retryAt, h.limit = false, false, 0, 0, recoveredLimit
	}
	if ok {
		h.shareState(peerLatencyUnknown)
	}
	if set := h.set; set.probed == h {
		set.probed, set.probedUntil = nil, 0
		set.serveQueue()
	}
}

// probeHosts probes unreachable and new hosts and, on credit, those whose position has aged, oldest first.
func (r *Router) probeHosts() {
	for r.Probes {
		var oldest *Host
		for _, host := range r.hosts {
			due := r.probeDue(host) && host.listState == Active && !host.probing
			if due && (oldest == nil || host.positionAt < oldest.positionAt) {
				oldest = host
			}
		}
		if oldest == nil {
			return
		}
		if oldest.unreachable {
			oldest.retryAt = r.now + second/4
		} else if oldest.positionAt > 0 {
			r.probeCredit--
		}
		r.startProbe(oldest)
	}
}

// probeDue says whether a probe of the host is due. Where routers tell each other, two of them do for all.
func (r *Router) probeDue(host *Host) bool {
	if host.unreachable {
		return r.now >= host.retryAt
	}
	aged := r.now >= host.positionAt+r.positionTTL && r.Reports && !r.probesForReads
	return (host.positionAt == 0 || aged && r.probeCredit >= 1) &&
		(!r.Peers || r.random()*float64(r.Routers) < 2)
}

func (r *Router) startProbe(host *Host) {
	host.probing, host.positionAt = true, max(host.positionAt, 1)
	r.caller.Probe(host)
}
