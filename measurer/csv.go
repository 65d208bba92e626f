package measurer

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// WriteCSV writes a header line and one line per row. Times are in milliseconds.
func WriteCSV(w io.Writer, rows []Result) error {
	out := csv.NewWriter(w)
	header := []string{
		"Instances", "Services", "Targets", "ConfigurationBytes", "IdleCPUPercent", "HeapBytes", "PeerBytesSentPerSecond",
		"StoreBytesSentPerSecond", "PeerMessagesPerSecond", "FleetStoreReadsPerSecond", "FleetStoreWritesPerSecond",
		"BusyStoreReadsPerSecond", "BusyStoreWritesPerSecond", "ChangesPerSecond",
		"ChangeMedianMilliseconds", "ChangeWorstMilliseconds", "CrashMedianMilliseconds", "CrashWorstMilliseconds",
		"JoinMedianMilliseconds", "JoinWorstMilliseconds",
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		if err := out.Write(row.fields()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func (r Result) fields() []string {
	number := func(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }
	milliseconds := func(d time.Duration) string { return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64) }
	return []string{
		strconv.Itoa(r.Instances), strconv.Itoa(r.Services), strconv.Itoa(r.Targets), strconv.Itoa(r.ConfigurationSize),
		number(r.IdleCPUPercent), fmt.Sprint(r.HeapBytes), number(r.PeerBytesSent), number(r.StoreBytesSent),
		number(r.PeerMessages), number(r.FleetStoreReads), number(r.FleetStoreWrites), number(r.BusyStoreReads),
		number(r.BusyStoreWrites), number(r.ChangesPerSecond), milliseconds(r.ChangeMedian), milliseconds(r.ChangeWorst),
		milliseconds(r.CrashMedian), milliseconds(r.CrashWorst), milliseconds(r.JoinMedian), milliseconds(r.JoinWorst),
	}
}
