package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"
)

const (
	// readyTimeout bounds the time in which a process must begin to answer.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two tries.
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds a call of a stand-in's own interface.
	callTimeout = 5 * time.Second
	// operatorName is who the deployment's changes are logged under.
	operatorName = "launch"
)

// ErrCommand tells that a command failed.
type ErrCommand struct {
	// Args are the program's arguments.
	Args []string
	// Stderr is what it wrote there.
	Stderr string
	// Cause is how it ended.
	Cause error
}

func (e ErrCommand) Error() string {
	return fmt.Sprintf("toucanctl %v: %v: %s", e.Args, e.Cause, e.Stderr)
}

func (e ErrCommand) Unwrap() error { return e.Cause }

// ErrStatus tells of an answer with another status than success.
type ErrStatus struct {
	URL    string
	Status int
	Body   string
}

func (e ErrStatus) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// controlVariables begin the names of the variables by which an operator leads toucanctl to another deployment.
const controlVariables = "TOUCAN_"

// Control runs toucanctl with its progress lines on progress and returns its standard output.
func (d *Deployment) Control(ctx context.Context, progress io.Writer, args ...string) ([]byte, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, d.binary("toucanctl"), args...)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, controlVariables) })
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	if progress != nil {
		cmd.Stderr = io.MultiWriter(&stderr, progress)
	}
	if err := cmd.Run(); err != nil {
		return stdout.Bytes(), ErrCommand{Args: args, Stderr: stderr.String(), Cause: err}
	}
	return stdout.Bytes(), nil
}

// apply makes the questionnaire's configuration the accepted one and waits until it is in force everywhere.
func (d *Deployment) apply(ctx context.Context) error {
	args := []string{"apply", "--objects", d.platform.Objects, "--as", operatorName}
	args = append(args, d.operatorFlags()...)
	args = append(args, d.Path("questionnaire.jsonc"))
	if _, err := d.Control(ctx, nil, args...); err != nil {
		return err
	}
	_, err := d.Control(ctx, nil, "generate", "--out", d.Path("config.json"), d.Path("questionnaire.jsonc"))
	return err
}

// operatorFlags names the operators' address of each instance.
func (d *Deployment) operatorFlags() []string {
	var flags []string
	for _, i := range d.instances {
		flags = append(flags, "--instance", i.Operators)
	}
	return flags
}

// CallerFlags names the callers' address of each instance.
func (d *Deployment) CallerFlags() []string {
	var flags []string
	for _, i := range d.instances {
		flags = append(flags, "--instance", i.Callers)
	}
	return flags
}

// grantKeys grants a key to each workspace and writes keys.json.
func (d *Deployment) grantKeys(ctx context.Context) error {
	keys := map[string]string{}
	for i, w := range d.answers.Workspaces {
		args := []string{"key", "grant", "--json", "--objects", d.platform.Objects, "--as", operatorName}
		if i == len(d.answers.Workspaces)-1 {
			args = append(args, d.operatorFlags()...)
		}
		out, err := d.Control(ctx, nil, append(args, w.Name)...)
		if err != nil {
			return err
		}
		var granted struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(out, &granted); err != nil {
			return fmt.Errorf("key of %s: %w", w.Name, err)
		}
		keys[w.Name] = granted.Key
	}
	return d.write("keys.json", keys)
}

// waitInstances waits until all instances tell the balancer that they are ready.
func (d *Deployment) waitInstances(ctx context.Context) error {
	for _, i := range d.instances {
		err := d.poll(ctx, func() error { return Get(ctx, "http://"+i.Operators+"/readyz", nil) })
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", i.Name, err)
		}
	}
	return nil
}

// waitAddresses waits until all addresses take connections.
func (d *Deployment) waitAddresses(ctx context.Context, addresses ...string) error {
	dialer := net.Dialer{Timeout: time.Second}
	for _, address := range addresses {
		err := d.poll(ctx, func() error {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// poll calls f until it succeeds, a process ends or readyTimeout is over.
func (d *Deployment) poll(ctx context.Context, f func() error) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ended := <-d.supervisor.Ended():
			return ended
		case <-timeout.C:
			return fmt.Errorf("after %s: %w", readyTimeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// Get reads a JSON answer into v, which may be nil.
func Get(ctx context.Context, url string, v any) error {
	return call(ctx, http.MethodGet, url, nil, v)
}

// Fault sets faults of the stand-in at an address.
func Fault(ctx context.Context, address string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, "http://"+address+"/admin/faults", body, nil)
}

// Post sends v as JSON.
func Post(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, url, body, nil)
}

// Stats reads the figures of the stand-in at an address.
func Stats(ctx context.Context, address string, v any) error {
	return Get(ctx, "http://"+address+"/admin/stats", v)
}

func call(ctx context.Context, method, url string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return ErrStatus{URL: url, Status: resp.StatusCode, Body: string(data)}
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

// TempDir makes a directory for a deployment; remove ends it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "toucanroute-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
