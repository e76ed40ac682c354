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
	// processWindow is the duration of the measurement of idle daemons.
	processWindow = 3 * time.Second
	// settleTime is the pause between the start of a deployment and its measurement.
	settleTime = 3 * time.Second
	// ticksPerSecond is the number of clock ticks in a second; processor times in /proc/PID/stat are in ticks.
	ticksPerSecond = 100
	// questionnaireFile describes a deployment with questionnaireDataCentres data centres.
	questionnaireFile        = "examples/doce-luz.jsonc"
	questionnaireDataCentres = 3
)

// processFigures are the measurements of daemon processes without requests, by number of daemons in the deployment.
type processFigures struct {
	// Memory is the resident memory of one daemon in MB, CPU its share of a core in percent.
	Memory Series
	CPU    Series
	// Reads and Writes are the calls per second of all daemons to the object API.
	Reads  Series
	Writes Series
}

// measureProcesses measures small deployments of real daemons.
func measureProcesses(ctx context.Context, t Target, root string) (processFigures, error) {
	newSeries := func(name, unit string, isConstant bool) Series {
		return Series{Name: name, Unit: unit, Parameter: "daemons in 3 data centres", Target: float64(t.Daemons), IsConstant: isConstant}
	}
	f := processFigures{
		Memory: newSeries("resident memory of an idle daemon", "MB", true),
		CPU:    newSeries("processor time of an idle daemon", "% of a core", true),
		Reads:  newSeries("reads of the object API by all daemons", "/s", false),
		Writes: newSeries("writes of the object API by all daemons", "/s", true),
	}
	binDir, err := launch.Build(ctx, root)
	if err != nil {
		return f, err
	}
	for _, n := range []int{2, 3, 4} {
		if err := f.measureDeployment(ctx, binDir, root, n); err != nil {
			return f, err
		}
	}
	return f, nil
}

// measureDeployment measures the daemons of one deployment.
func (f *processFigures) measureDeployment(ctx context.Context, binDir, root string, perDataCentre int) error {
	dir, remove, err := launch.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	d := &launch.Deployment{BinDir: binDir, Dir: dir, Questionnaire: filepath.Join(root, questionnaireFile), InstancesPerDataCentre: perDataCentre}
	defer d.Stop()
	if err := d.Start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var before, after objectapi.Stats
	if err := launch.Stats(ctx, d.Platform().Objects, &before); err != nil {
		return err
	}
	start, ticksBefore := time.Now(), cpuTicksByDaemon(d)
	time.Sleep(processWindow)
	seconds := time.Since(start).Seconds()
	var cpu, memory []float64
	for name, ticksAfter := range cpuTicksByDaemon(d) {
		cpu = append(cpu, 100*(ticksAfter-ticksBefore[name])/ticksPerSecond/seconds)
		memory = append(memory, residentBytes(d.Daemon(name).Pid())/megabyte)
	}
	if err := launch.Stats(ctx, d.Platform().Objects, &after); err != nil {
		return err
	}
	n := perDataCentre * questionnaireDataCentres
	f.Memory.addPoint(n, median(memory))
	f.CPU.addPoint(n, median(cpu))
	f.Reads.addPoint(n, float64(after.Reads-before.Reads)/seconds)
	f.Writes.addPoint(n, float64(after.Writes-before.Writes)/seconds)
	return nil
}

// cpuTicksByDaemon returns the processor time of each daemon in ticks.
func cpuTicksByDaemon(d *launch.Deployment) map[string]float64 {
	times := map[string]float64{}
	for _, i := range d.Instances() {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Daemon(i.Name).Pid()))
		if err == nil {
			times[i.Name] = parseCPUTicks(string(data))
		}
	}
	return times
}

// parseCPUTicks returns the sum of user and system time in a line of /proc/PID/stat.
func parseCPUTicks(stat string) float64 {
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0
	}
	u, _ := strconv.ParseFloat(fields[utime], 64)
	s, _ := strconv.ParseFloat(fields[stime], 64)
	return u + s
}

// residentBytes returns the resident memory of a process in bytes, or 0 if it can't be read.
func residentBytes(pid int) float64 {
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
