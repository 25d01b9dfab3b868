package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// avoidTime is the time for which a helper is the last choice after it did not answer or turned out to be cut off.
	avoidTime = 2 * time.Second

	// usefulTime is the time for which a helper that connected to a server, or that another instance named, is preferred.
	usefulTime = 10 * time.Second

	// maxHelpers bounds the helpers that are chosen for one connection, and maxNamed those that are asked in addition because other
	// instances name them.
	maxHelpers = 8
	maxNamed   = 4

	// isolationHelpers is the number of helpers that have to fail for all to be taken to be cut off. If one of seven instances
	// reaches the servers, 16 chosen at random all fail in one of twelve cases.
	isolationHelpers = 16
)

// Helper is another instance that may reach a backend server.
type Helper struct {
	id          pond.InstanceID
	incarnation pond.Incarnation
	address     string
	region      string
	distance    int
	capacity    uint32
}

// NewHelper returns an instance as a helper. Distance ranks the whole way to the backend server, the shortest first.
func NewHelper(instance pond.Instance, distance int) Helper {
	return Helper{
		id: instance.ID(), incarnation: instance.Ref().Incarnation, address: instance.PeerAddress(), region: instance.Region(), distance: distance,
		capacity: max(instance.Capacity(), 1),
	}
}

func (h Helper) ref() pond.InstanceRef { return pond.InstanceRef{ID: h.id, Incarnation: h.incarnation} }

// helperRecord is what is remembered of a helper.
type helperRecord struct {
	avoidUntil time.Time
	// provenUntil is the end of usefulTime after the helper connected to a server, namedUntil that after another instance said that it
	// uses the helper.
	provenUntil time.Time
	namedUntil  time.Time
}

func (r helperRecord) avoided(now time.Time) bool { return now.Before(r.avoidUntil) }
func (r helperRecord) proven(now time.Time) bool  { return now.Before(r.provenUntil) }
func (r helperRecord) useful(now time.Time) bool  { return r.proven(now) || now.Before(r.namedUntil) }

// helperTable remembers which helpers failed or connected, and the connections that each carries.
type helperTable struct {
	records map[pond.InstanceID]helperRecord
	open    map[pond.InstanceID]int
	// ends holds when helpers that shut down end, as they state, by time.Now. The other times are by Options.Clock.
	ends map[pond.InstanceRef]time.Time
}

func newHelperTable() helperTable {
	return helperTable{
		records: make(map[pond.InstanceID]helperRecord), open: make(map[pond.InstanceID]int), ends: make(map[pond.InstanceRef]time.Time),
	}
}

// choose returns the first helpers to ask, at most limit, with one that is useful if there is any. Among equally distant ones the
// choice is random, weighted by capacity, so that the instances that are cut off together do not all ask the same one. The more
// helpers failed lately, the less is expected of those that are not known to be useful.
func (t *helperTable) choose(helpers []Helper, limit int, now time.Time) []Helper {
	type ranked struct {
		Helper
		avoided, useful bool
		cost            float64
	}
	candidates := make([]ranked, 0, len(helpers))
	avoided, useful := 0, 0
	for _, h := range helpers {
		r := t.records[h.id]
		c := ranked{
			Helper: h, avoided: r.avoided(now), useful: r.useful(now), cost: rand.ExpFloat64() * float64(1+t.open[h.id]) / float64(h.capacity),
		}
		switch {
		case c.avoided:
			avoided++
		case c.useful:
			useful++
		}
		candidates = append(candidates, c)
	}
	hope := float64(useful+1) / float64(useful+avoided+1)
	for i := range candidates {
		if !candidates[i].useful {
			candidates[i].cost /= hope
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if a.avoided != b.avoided {
			if a.avoided {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.cost, b.cost))
	})
	limit = min(limit, len(candidates))
	if first := slices.IndexFunc(candidates, func(c ranked) bool { return c.useful && !c.avoided }); first >= limit && limit > 0 {
		candidates[limit-1] = candidates[first]
	}
	chosen := make([]Helper, 0, limit)
	for _, c := range candidates[:limit] {
		chosen = append(chosen, c.Helper)
	}
	return chosen
}

// setEnd records when a helper ends, and forgets those that have ended.
func (t *helperTable) setEnd(h Helper, at, now time.Time) {
	for ref, endsAt := range t.ends {
		if !now.Before(endsAt) {
			delete(t.ends, ref)
		}
	}
	t.ends[h.ref()] = at
}

// lasting returns the helpers that are not known to end too early, and the latest end of the others; the zero time without any.
func (t *helperTable) lasting(helpers []Helper, fits func(endsAt time.Time) bool, now time.Time) (lasting []Helper, latestEnd time.Time) {
	if len(t.ends) == 0 {
		return helpers, time.Time{}
	}
	for _, h := range helpers {
		endsAt, stated := t.ends[h.ref()]
		if !stated || !now.Before(endsAt) || fits(endsAt) {
			lasting = append(lasting, h)
			continue
		}
		if endsAt.After(latestEnd) {
			latestEnd = endsAt
		}
	}
	return lasting, latestEnd
}

// noneLeft reports whether so many helpers failed lately that the others are taken to be cut off too.
func (t *helperTable) noneLeft(helpers []Helper, now time.Time) bool {
	avoided := 0
	for _, h := range helpers {
		switch r := t.records[h.id]; {
		case r.avoided(now):
			avoided++
		case r.useful(now):
			return false
		}
	}
	return avoided > 0 && avoided >= min(len(helpers), isolationHelpers)
}

// proven returns a helper that connected to a server lately, if there is one.
func (t *helperTable) proven(now time.Time) (id pond.InstanceID, ok bool) {
	var candidates []pond.InstanceID
	for id, r := range t.records {
		if r.proven(now) && !r.avoided(now) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// avoid makes a helper the last choice for a while.
func (t *helperTable) avoid(id pond.InstanceID, now time.Time) {
	t.forget(now)
	t.records[id] = helperRecord{avoidUntil: now.Add(avoidTime)}
}

// named records that another instance uses a helper, and reports whether it is worth asking. If it failed lately, it is not.
func (t *helperTable) named(id pond.InstanceID, now time.Time) bool {
	r := t.records[id]
	if r.avoided(now) {
		return false
	}
	r.namedUntil = now.Add(usefulTime)
	t.records[id] = r
	return true
}

// forget drops what is too old to count.
func (t *helperTable) forget(now time.Time) {
	for id, r := range t.records {
		if !r.avoided(now) && !r.useful(now) {
			delete(t.records, id)
		}
	}
}

func (t *helperTable) opened(id pond.InstanceID, now time.Time) {
	t.forget(now)
	t.open[id]++
	t.records[id] = helperRecord{provenUntil: now.Add(usefulTime)}
}

func (t *helperTable) closed(id pond.InstanceID) {
	if t.open[id]--; t.open[id] <= 0 {
		delete(t.open, id)
	}
}

// helperQueue holds the helpers to ask for one connection.
type helperQueue struct {
	all    []Helper
	chosen []Helper
	asked  []Helper
	named  int
}

// next returns the helper to ask next.
func (q *helperQueue) next() (Helper, bool) {
	if len(q.chosen) == 0 {
		return Helper{}, false
	}
	h := q.chosen[0]
	q.chosen = q.chosen[1:]
	q.asked = append(q.asked, h)
	return h, true
}

// addNamed puts a helper that another instance named first, unless it has been asked.
func (q *helperQueue) addNamed(id pond.InstanceID) {
	is := func(h Helper) bool { return h.id == id }
	index := slices.IndexFunc(q.all, is)
	if index < 0 || q.named == maxNamed || slices.ContainsFunc(q.asked, is) {
		return
	}
	q.named++
	q.chosen = append([]Helper{q.all[index]}, slices.DeleteFunc(q.chosen, is)...)
}
