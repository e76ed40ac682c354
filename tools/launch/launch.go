// Package launch starts a whole deployment on loopback: simulations of the outside systems (stand-ins), the instances,
// a configuration generated from a questionnaire, and a key for each workspace. A questionnaire is the file in which an
// operator describes a deployment.
package launch

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/standin/ordering"
	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// buildDir is the directory below the source root where Build puts the binaries.
	buildDir = "bin"
	// platformPortCount is the number of ports of the platform: object API, ordering, usage intake and instance list.
	platformPortCount = 4
)

// Deployment is one deployment on loopback. Set the exported fields before Start.
type Deployment struct {
	// BinDir is the directory of the binaries, as returned by Build.
	BinDir string
	// Dir is the directory for settings, logs and all other files of the deployment.
	Dir string
	// Questionnaire is the questionnaire file. The addresses of its backend servers are replaced by loopback addresses.
	Questionnaire string
	// InstancesPerDataCentre is the number of instances in each data centre; 0 means 2.
	InstancesPerDataCentre int
	// Baseline selects a baseline policy instead of the daemon's own scheduling, for experiments; empty means none.
	Baseline string
	// TokenTime is the engines' time between tokens; 0 means the default of the engine stand-in.
	TokenTime time.Duration
	// LoadLag is the age of the load reports that engines send.
	LoadLag time.Duration
	// LogLevel is the log level of the instances; empty means warn.
	LogLevel string
	// WritesPerSecond and ReadsPerSecond are rate limits of the object API; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64

	supervisor    *Supervisor
	portAllocator portAllocator
	// parsedAnswers is the parsed content of the file Questionnaire.
	parsedAnswers *wire.Questionnaire
	servers       []Server
	serverGroups  []serverGroup
	instances     []Instance
	// platform holds the addresses of the stand-ins of the platform.
	platform wire.SettingsPlatform
	// daemons holds the daemon processes by instance name.
	daemons map[string]*Process
}

// Build builds the binaries from the source tree at root and returns the directory that holds them.
func Build(ctx context.Context, root string) (bin string, err error) {
	bin, err = filepath.Abs(filepath.Join(root, buildDir))
	if err != nil {
		return "", err
	}
	out := bin + string(filepath.Separator)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "./cmd/...", "./tools/standin")
	cmd.Dir = root
	cmd.Stdout = os.Stderr
	cmd.Stderr = os.Stderr
	return bin, cmd.Run()
}

// Start starts all processes and returns when all instances are ready. The caller must call Stop even if Start fails.
func (d *Deployment) Start(ctx context.Context) error {
	d.supervisor = &Supervisor{Dir: d.Dir}
	d.daemons = map[string]*Process{}
	steps := []func(context.Context) error{
		d.plan,
		d.startPlatform,
		d.startServers,
		d.startInstances,
		d.applyConfiguration,
		d.grantKeys,
		d.waitInstances,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes. The instances end first, so that they can shut down gracefully.
func (d *Deployment) Stop() {
	if d.supervisor != nil {
		d.supervisor.Terminate(slices.Collect(maps.Values(d.daemons))...)
		d.supervisor.Stop()
	}
	d.portAllocator.release()
}

// Instances returns all instances.
func (d *Deployment) Instances() []Instance { return d.instances }

// Servers returns all backend servers.
func (d *Deployment) Servers() []Server { return d.servers }

// Platform returns the addresses of the platform's interfaces.
func (d *Deployment) Platform() wire.SettingsPlatform { return d.platform }

// Daemon returns the daemon process of an instance.
func (d *Deployment) Daemon(instance string) *Process { return d.daemons[instance] }

// Ended returns a channel that receives the first process that exits unexpectedly.
func (d *Deployment) Ended() <-chan ErrProcessEnded { return d.supervisor.Ended() }

// Path returns the path of a file in the deployment's directory.
func (d *Deployment) Path(file string) string { return filepath.Join(d.Dir, file) }

// plan reads the questionnaire and allocates all addresses.
func (d *Deployment) plan(context.Context) error {
	text, err := os.ReadFile(d.Questionnaire)
	if err != nil {
		return err
	}
	d.parsedAnswers, err = questionnaire.Parse(d.Questionnaire, text)
	if err != nil {
		return err
	}
	d.servers = servers(d.parsedAnswers)
	if d.serverGroups, err = planServers(d.servers, &d.portAllocator); err != nil {
		return err
	}
	d.instances, err = planInstances(d.parsedAnswers.DataCentres, cmp.Or(d.InstancesPerDataCentre, 2), &d.portAllocator)
	if err != nil {
		return err
	}
	addresses, err := d.portAllocator.allocate(platformPortCount)
	if err != nil {
		return err
	}
	d.platform = wire.SettingsPlatform{
		Objects:   addresses[0],
		Ordering:  addresses[1],
		Usage:     addresses[2],
		Instances: addresses[3],
	}
	return os.WriteFile(d.Path("questionnaire.jsonc"), []byte(replaceAddresses(string(text), d.servers)), 0o600)
}

// startPlatform starts the stand-ins of the platform.
func (d *Deployment) startPlatform(ctx context.Context) error {
	var entries []ordering.ServerEntry
	for _, s := range d.servers {
		kind := wire.ServerStateKindRegular
		if s.IsCheap {
			kind = wire.ServerStateKindCheap
		}
		entries = append(entries, ordering.ServerEntry{Server: s.Name, DataCentre: s.DataCentre, Kind: kind, Admin: s.Address})
	}
	if err := d.writeJSON("servers.json", entries); err != nil {
		return err
	}
	list := wire.InstanceList{}
	for _, i := range d.instances {
		info := wire.InstanceInfo{Name: i.Name, DataCentre: i.DataCentre, PeerAddress: i.Peers, State: wire.InstanceInfoStateLive}
		list.Instances = append(list.Instances, info)
	}
	if err := d.writeJSON("instances.json", list); err != nil {
		return err
	}
	commands := [][]string{
		{"objectapi", "--listen", d.platform.Objects, "--writes-per-second", formatNumber(d.WritesPerSecond), "--reads-per-second", formatNumber(d.ReadsPerSecond)},
		{"ordering", "--listen", d.platform.Ordering, "--servers", d.Path("servers.json")},
		{"intake", "--listen", d.platform.Usage},
		{"instances", "--listen", d.platform.Instances, "--file", d.Path("instances.json")},
	}
	for _, args := range commands {
		if _, err := d.supervisor.Start(args[0], d.binaryPath("standin"), args...); err != nil {
			return err
		}
	}
	return d.waitAddresses(ctx, d.platform.Objects, d.platform.Ordering, d.platform.Usage, d.platform.Instances)
}

// startServers starts the stand-ins of the backend servers, one process for each group.
func (d *Deployment) startServers(ctx context.Context) error {
	var addresses []string
	for n, g := range d.serverGroups {
		var members []Server
		for _, s := range d.servers {
			if s.serverGroup() == g {
				members = append(members, s)
				addresses = append(addresses, s.Address)
			}
		}
		name := fmt.Sprintf("%s-%s-%d", g.pool, g.dataCentre, n)
		if _, err := d.supervisor.Start(name, d.binaryPath("standin"), d.serverArgs(g, members)...); err != nil {
			return err
		}
	}
	return d.waitAddresses(ctx, addresses...)
}

// serverArgs returns the arguments of the process that runs the servers of a group.
func (d *Deployment) serverArgs(g serverGroup, members []Server) []string {
	command := "service"
	if g.isModel {
		command = "engine"
	}
	args := []string{command, "--listen", members[0].Address, "--count", strconv.Itoa(len(members)), "--slots", strconv.Itoa(g.slots)}
	for _, s := range members {
		args = append(args, "--name", s.Name)
	}
	if !g.isModel {
		return args
	}
	args = append(args, "--model", g.pool, "--load-lag", d.LoadLag.String())
	if d.TokenTime > 0 {
		args = append(args, "--token-time", d.TokenTime.String())
	}
	if g.checksFencing {
		args = append(args, "--checks-fencing")
	}
	return args
}

// startInstances writes the settings files and starts the daemons.
func (d *Deployment) startInstances(ctx context.Context) error {
	var addresses []string
	for _, i := range d.instances {
		settings := instanceSettings(i, d.instances, d.platform, cmp.Or(d.LogLevel, "warn"))
		if err := d.writeJSON(i.Name+".jsonc", settings); err != nil {
			return err
		}
		if err := d.StartInstance(i.Name); err != nil {
			return err
		}
		addresses = append(addresses, i.Operators)
	}
	return d.waitAddresses(ctx, addresses...)
}

// StartInstance starts the daemon of an instance. Its settings file must exist.
func (d *Deployment) StartInstance(name string) error {
	args := []string{"--settings", d.Path(name + ".jsonc")}
	if d.Baseline != "" {
		args = append(args, "--baseline", d.Baseline)
	}
	p, err := d.supervisor.Start(name, d.binaryPath("toucanrouted"), args...)
	if err != nil {
		return err
	}
	d.daemons[name] = p
	return nil
}

func (d *Deployment) binaryPath(name string) string {
	return filepath.Join(d.BinDir, name)
}

// writeJSON writes v as JSON to a file in the deployment's directory.
func (d *Deployment) writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.Path(file), append(data, '\n'), 0o600)
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}
