package inventory

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the counters of one Inventory.
type meters struct {
	readOK, readWithheld, readFailed          *metrics.Counter
	byReading, byFlood, byDigest              *metrics.Counter
	digestEqual, digestDiffered, digestFailed *metrics.Counter
}

func newMeters(set *metrics.Set, v *Inventory) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("wigeon_inventory_records", func() float64 { return float64(v.size()) })
	set.GetOrCreateGauge("wigeon_inventory_reader", func() float64 {
		if v.Duty() == NotReader {
			return 0
		}
		return 1
	})
	count := set.GetOrCreateCounter
	return &meters{
		readOK:         count(`wigeon_inventory_readings_total{result="taken"}`),
		readWithheld:   count(`wigeon_inventory_readings_total{result="held"}`),
		readFailed:     count(`wigeon_inventory_readings_total{result="failed"}`),
		byReading:      count(`wigeon_inventory_changes_total{from="reading"}`),
		byFlood:        count(`wigeon_inventory_changes_total{from="flood"}`),
		byDigest:       count(`wigeon_inventory_changes_total{from="digest"}`),
		digestEqual:    count(`wigeon_inventory_digests_total{result="equal"}`),
		digestDiffered: count(`wigeon_inventory_digests_total{result="differed"}`),
		digestFailed:   count(`wigeon_inventory_digests_total{result="failed"}`),
	}
}

// Dump is the state of an Inventory for operators.
type Dump struct {
	Duty               string                `json:"duty"`
	Readings           int                   `json:"readings"` // number of readings by this node since its start
	Withholding        bool                  `json:"held_back"`
	LastReadingSeconds float64               `json:"last_reading_heard_s"` // time since the last update about a reading
	Live               int                   `json:"live"`
	Removed            int                   `json:"removed"`
	Records            map[string]RecordDump `json:"records"`
}

// RecordDump is one record in a dump.
type RecordDump struct {
	Addr     string `json:"addr"`
	Leaving  bool   `json:"leaving"`
	Removed  bool   `json:"removed"`
	AtUnixMS int64  `json:"at_unix_ms"`
	Reader   string `json:"reader"`
}

// Dump returns the state of the Inventory as a Dump. The keys of its records are b/ID for
// backend servers and e/ID for entry VMs.
func (v *Inventory) Dump() any {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := Dump{
		Duty:               v.duty.String(),
		Readings:           v.readings,
		Withholding:        v.withholding,
		LastReadingSeconds: time.Since(v.lastReadingAt).Seconds(),
		Records:            make(map[string]RecordDump, len(v.state.records)),
	}
	for key, r := range v.state.records {
		d.Records[key] = RecordDump{r.Item.Addr, r.Item.Leaving, r.Removed, r.At, r.Reader}
		if r.Removed {
			d.Removed++
			continue
		}
		d.Live++
	}
	return d
}
