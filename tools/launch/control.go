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
	// readyTimeout bounds the wait for a started process to become ready.
	readyTimeout = 20 * time.Second
	// pollInterval is the pause between two readiness checks.
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds one HTTP request to a stand-in or an instance.
	callTimeout = 5 * time.Second
	// operatorName is the operator name with which the deployment's changes are logged.
	operatorName = "launch"
)

// ErrCommand reports that a toucanctl command failed.
type ErrCommand struct {
	// Args are the arguments of toucanctl.
	Args []string
	// Stderr is the command's standard error output.
	Stderr string
	// Cause is the error with which the command ended.
	Cause error
}

func (e ErrCommand) Error() string {
	return fmt.Sprintf("toucanctl %v: %v: %s", e.Args, e.Cause, e.Stderr)
}

func (e ErrCommand) Unwrap() error { return e.Cause }

// ErrStatus reports an HTTP response with a status other than 2xx.
type ErrStatus struct {
	URL    string
	Status int
	Body   string
}

func (e ErrStatus) Error() string {
	return fmt.Sprintf("%s returned status %d: %s", e.URL, e.Status, e.Body)
}

// toucanctlVariablePrefix is the prefix of the environment variables with which an operator points toucanctl at another
// deployment. RunToucanctl removes these variables, so that a command always goes to this deployment.
const toucanctlVariablePrefix = "TOUCAN_"

// RunToucanctl runs toucanctl and returns its standard output. Its standard error is copied to progress unless that is
// nil.
func (d *Deployment) RunToucanctl(ctx context.Context, progress io.Writer, args ...string) ([]byte, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, d.binaryPath("toucanctl"), args...)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, toucanctlVariablePrefix) })
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

// applyConfiguration applies the configuration that is generated from the questionnaire, waits until it is in force at
// all instances and writes it to config.json.
func (d *Deployment) applyConfiguration(ctx context.Context) error {
	args := []string{"apply", "--objects", d.platform.Objects, "--as", operatorName}
	args = append(args, d.operatorAddressFlags()...)
	args = append(args, d.Path("questionnaire.jsonc"))
	if _, err := d.RunToucanctl(ctx, nil, args...); err != nil {
		return err
	}
	_, err := d.RunToucanctl(ctx, nil, "generate", "--out", d.Path("config.json"), d.Path("questionnaire.jsonc"))
	return err
}

// operatorAddressFlags returns an --instance flag with the operator address of each instance.
func (d *Deployment) operatorAddressFlags() []string {
	var flags []string
	for _, i := range d.instances {
		flags = append(flags, "--instance", i.Operators)
	}
	return flags
}

// CallerAddressFlags returns an --instance flag with the caller address of each instance.
func (d *Deployment) CallerAddressFlags() []string {
	var flags []string
	for _, i := range d.instances {
		flags = append(flags, "--instance", i.Callers)
	}
	return flags
}

// grantKeys grants a key to each workspace and writes the keys to keys.json. Only the last grant waits until its key is
// in force at all instances.
func (d *Deployment) grantKeys(ctx context.Context) error {
	keys := map[string]string{}
	for i, w := range d.parsedAnswers.Workspaces {
		args := []string{"key", "grant", "--json", "--objects", d.platform.Objects, "--as", operatorName}
		if i == len(d.parsedAnswers.Workspaces)-1 {
			args = append(args, d.operatorAddressFlags()...)
		}
		out, err := d.RunToucanctl(ctx, nil, append(args, w.Name)...)
		if err != nil {
			return err
		}
		var granted struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(out, &granted); err != nil {
			return fmt.Errorf("decode the granted key of workspace %s: %w", w.Name, err)
		}
		keys[w.Name] = granted.Key
	}
	return d.writeJSON("keys.json", keys)
}

// waitInstances waits until all instances report on /readyz that they are ready.
func (d *Deployment) waitInstances(ctx context.Context) error {
	for _, i := range d.instances {
		err := d.pollUntilReady(ctx, func() error { return Get(ctx, "http://"+i.Operators+"/readyz", nil) })
		if err != nil {
			return fmt.Errorf("instance %s is not ready: %w", i.Name, err)
		}
	}
	return nil
}

// waitAddresses waits until all addresses accept TCP connections.
func (d *Deployment) waitAddresses(ctx context.Context, addresses ...string) error {
	dialer := net.Dialer{Timeout: time.Second}
	for _, address := range addresses {
		err := d.pollUntilReady(ctx, func() error {
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

// pollUntilReady calls try until it succeeds. It returns an error when a process of the deployment ends, ctx ends or
// readyTimeout has passed.
func (d *Deployment) pollUntilReady(ctx context.Context, try func() error) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ended := <-d.supervisor.Ended():
			return ended
		case <-timeout.C:
			return fmt.Errorf("timeout after %s: %w", readyTimeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// Get reads a JSON response into v; with v nil only the status is checked.
func Get(ctx context.Context, url string, v any) error {
	return callJSON(ctx, http.MethodGet, url, nil, v)
}

// SetFaults sets the injected faults of the stand-in at an address.
func SetFaults(ctx context.Context, address string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return callJSON(ctx, http.MethodPost, "http://"+address+"/admin/faults", body, nil)
}

// Post sends v as JSON.
func Post(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return callJSON(ctx, http.MethodPost, url, body, nil)
}

// Stats reads the statistics of the stand-in at an address into v.
func Stats(ctx context.Context, address string, v any) error {
	return Get(ctx, "http://"+address+"/admin/stats", v)
}

func callJSON(ctx context.Context, method, url string, body []byte, v any) error {
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

// TempDir creates a directory for a deployment; remove deletes it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "toucanroute-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
