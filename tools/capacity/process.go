package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/standin/objectapi"
	"github.com/toucanroute/toucanroute/tools/launch"
)

const (
	// processWindow is the time over which idle daemons are measured.
	processWindow = 3 * time.Second
	// settleTime passes between the start of a deployment and its measurement.
	settleTime = 3 * time.Second
	// ticksPerSecond is the unit of processor time that the kernel tells.
	ticksPerSecond = 100
	// questionnaireFile has three data centres.
	questionnaireFile = "examples/doce-luz.jsonc"
	dataCentresOfFile = 3
)

// processFigures are the series of whole idle daemons, by daemons of the deployment.
type processFigures struct {
	// Memory is the resident memory of one daemon, CPU its share of a core in percent.
	Memory Series
	CPU    Series
	// Reads and Writes are calls per second of the object API by one daemon.
	Reads  Series
	Writes Series
}

// measureProcesses runs small deployments of real daemons.
func measureProcesses(ctx context.Context, t Target, root string) (processFigures, error) {
	of := func(name, unit string, flat bool) Series {
		return Series{Name: name, Unit: unit, Varied: "daemons in 3 data centres", Target: float64(t.Daemons), Flat: flat}
	}
	f := processFigures{
		Memory: of("resident memory of an idle daemon", "MB", true),
		CPU:    of("processor time of an idle daemon", "% of a core", true),
		Reads:  of("reads of the object API by all daemons", "/s", false),
		Writes: of("writes of the object API by all daemons", "/s", true),
	}
	bin, err := launch.Build(ctx, root)
	if err != nil {
		return f, err
	}
	for _, n := range []int{2, 3, 4} {
		if err := f.deployment(ctx, bin, root, n); err != nil {
			return f, err
		}
	}
	return f, nil
}

// deployment measures the daemons of one deployment.
func (f *processFigures) deployment(ctx context.Context, bin, root string, perDataCentre int) error {
	dir, remove, err := launch.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	d := &launch.Deployment{Bin: bin, Dir: dir, Questionnaire: filepath.Join(root, questionnaireFile), PerDataCentre: perDataCentre}
	defer d.Stop()
	if err := d.Start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var before, after objectapi.Stats
	if err := launch.Stats(ctx, d.Platform().Objects, &before); err != nil {
		return err
	}
	start, used := time.Now(), processorTimes(d)
	time.Sleep(processWindow)
	took := time.Since(start).Seconds()
	var cpu, memory []float64
	for name, ticks := range processorTimes(d) {
		cpu = append(cpu, 100*(ticks-used[name])/ticksPerSecond/took)
		memory = append(memory, resident(d.Daemon(name).Pid())/megabyte)
	}
	if err := launch.Stats(ctx, d.Platform().Objects, &after); err != nil {
		return err
	}
	n := perDataCentre * dataCentresOfFile
	f.Memory.add(n, median(memory))
	f.CPU.add(n, median(cpu))
	f.Reads.add(n, float64(after.Reads-before.Reads)/took)
	f.Writes.add(n, float64(after.Writes-before.Writes)/took)
	return nil
}

// processorTimes returns the processor time of each daemon in ticks.
func processorTimes(d *launch.Deployment) map[string]float64 {
	times := map[string]float64{}
	for _, i := range d.Instances() {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Daemon(i.Name).Pid()))
		if err == nil {
			times[i.Name] = ticks(string(data))
		}
	}
	return times
}

// ticks returns the user and system time of a line of /proc/PID/stat.
func ticks(stat string) float64 {
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0
	}
	u, _ := strconv.ParseFloat(fields[utime], 64)
	s, _ := strconv.ParseFloat(fields[stime], 64)
	return u + s
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib * 1024
		}
	}
	return 0
}
