package scenario

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// fixtureDir holds the files that each script gets, with its addresses filled in.
const fixtureDir = "fixture"

// deployment starts the platform's stand-ins, three engines, two services and three instances in two data centres.
var deployment = []string{
	"start objects standin objectapi --listen $P0",
	"start ordering standin ordering --listen $P1 --servers servers.json",
	"start intake standin intake --listen $P2",
	"start engine-a1 standin engine --listen $P3 --name engine-a1 --token-time 5ms",
	"start engine-a2 standin engine --listen $P4 --name engine-a2 --token-time 5ms",
	"start engine-b1 standin engine --listen $P5 --name engine-b1 --token-time 5ms",
	"start registry-a standin service --listen $P6 --name registry-a",
	"start registry-b standin service --listen $P7 --name registry-b",
	"waitready $P0 $P1 $P2 $P3 $P4 $P5 $P6 $P7",
	"start a-1 toucanrouted --settings a-1.jsonc",
	"start a-2 toucanrouted --settings a-2.jsonc",
	"start b-1 toucanrouted --settings b-1.jsonc",
	"waitready http://$P12/healthz http://$P15/healthz http://$P18/healthz",
	"run toucanctl apply --as ana --objects $P0 --instance $P12,$P15,$P18 questionnaire.jsonc",
	"waitready http://$P12/readyz http://$P15/readyz http://$P18/readyz",
	"run toucanctl key grant --json --as ana --objects $P0 --instance $P12,$P15,$P18 shop",
}

// deploymentVariables lead toucanctl to the deployment.
var deploymentVariables = map[string]string{
	"TOUCAN_OBJECTS":   "$P0",
	"TOUCAN_INSTANCES": "$P12,$P15,$P18",
}

// deploy starts the deployment of the fixture: deploy [NAME]... leaves the named processes out. The last output is
// that of the key's grant. toucanctl then finds the deployment by its environment; without deploy it must not, since
// it would wait for instances that nobody started.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: deploy [NAME]...")
	}
	s := ts.Value(sessionKey{}).(*session)
	ts.Check(s.deploy(args, ts.Stdout()))
	for name, text := range deploymentVariables {
		value := os.Expand(text, s.env.Getenv)
		ts.Setenv(name, value)
		s.env.Setenv(name, value)
	}
}

// deploy starts all processes of the deployment but those named.
func (s *session) deploy(args []string, out io.Writer) error {
	left := map[string]bool{}
	for _, name := range args {
		left[name] = true
	}
	for _, line := range deployment {
		words := strings.Fields(os.Expand(line, s.env.Getenv))
		if words[0] == "start" && left[words[1]] {
			continue
		}
		w := io.Discard
		if strings.Contains(line, "key grant") {
			w = out
		}
		if err := s.call(words, w); err != nil {
			return err
		}
	}
	return nil
}

// addFixture writes the fixture's files to the script's directory, with its variables filled in. A file of the script
// goes before the fixture's of the same name.
func addFixture(env *testscript.Env) error {
	variable := regexp.MustCompile(`\$\{(\w+)\}`)
	files, err := filepath.Glob(filepath.Join(fixtureDir, "*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		path := filepath.Join(env.WorkDir, filepath.Base(file))
		if _, err := os.Stat(path); err == nil {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text := variable.ReplaceAllStringFunc(string(data), func(ref string) string {
			return env.Getenv(strings.Trim(ref, "${}"))
		})
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
