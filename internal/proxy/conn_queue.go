package proxy

import "slices"

// connQueue holds the statements that wait for a connection to a host, and counts the connections that are being opened. A
// connection belongs to one tenant, so both are counted by tenant.
type connQueue struct {
	statements []*statement // the oldest first
	dialing    int          // connections that are being opened, over all tenants
	byTenant   map[string]connDemand
}

// connDemand counts the waiting statements and pending dials of one tenant.
type connDemand struct {
	waiting int // statements
	dialing int // connections that are being opened
}

func newConnQueue() connQueue { return connQueue{byTenant: map[string]connDemand{}} }

func (q *connQueue) push(stmt *statement) {
	q.statements = append(q.statements, stmt)
	q.adjust(stmt.tenant, 1, 0)
}

// remove removes a statement, if it is queued.
func (q *connQueue) remove(stmt *statement) {
	if i := slices.Index(q.statements, stmt); i >= 0 {
		q.statements = slices.Delete(q.statements, i, i+1)
		q.adjust(stmt.tenant, -1, 0)
	}
}

// popForTenant removes and returns a tenant's oldest statement, or returns nil if there is none.
func (q *connQueue) popForTenant(tenant string) *statement {
	if q.byTenant[tenant].waiting == 0 {
		return nil
	}
	for _, stmt := range q.statements {
		if stmt.tenant == tenant {
			q.remove(stmt)
			return stmt
		}
	}
	return nil
}

func (q *connQueue) dialStarted(tenant string) {
	q.dialing++
	q.adjust(tenant, 0, 1)
}

func (q *connQueue) dialFinished(tenant string) {
	q.dialing--
	q.adjust(tenant, 0, -1)
}

func (q *connQueue) adjust(tenant string, waiting, dialing int) {
	demand := q.byTenant[tenant]
	demand.waiting += waiting
	demand.dialing += dialing
	if demand == (connDemand{}) {
		delete(q.byTenant, tenant)
		return
	}
	q.byTenant[tenant] = demand
}

// needsDial reports whether more statements of a tenant are waiting than connections are being opened for it.
func (q *connQueue) needsDial(tenant string) bool {
	demand := q.byTenant[tenant]
	return demand.waiting > demand.dialing
}

// oldestWithoutDial returns the oldest statement whose tenant needs another dial, or nil if there is none.
func (q *connQueue) oldestWithoutDial() *statement {
	for _, stmt := range q.statements {
		if q.needsDial(stmt.tenant) {
			return stmt
		}
	}
	return nil
}
