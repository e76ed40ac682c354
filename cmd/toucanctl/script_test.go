package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	deployment "github.com/toucanroute/toucanroute/platform"
	"github.com/toucanroute/toucanroute/platform/platformtest"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/versions"
	"github.com/toucanroute/toucanroute/standin/objectapi"
	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"toucanctl": main})
}

// TestScripts runs toucanctl as a process against a simulated object API and two instances that read the versions of
// their configuration and keyrings from it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "script"),
		Setup: setUp,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitCode},
	})
}

// setUp starts the object API and the instances and sets the environment of a script.
func setUp(env *testscript.Env) error {
	objects := httptest.NewServer((&objectapi.Server{}).Handler())
	env.Defer(objects.Close)
	store := newStore(env)
	lifted := &atomic.Bool{}
	store.WriteObject(deployment.ConfigKind, deployment.ConfigName, `{"version":7,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/","type":"idempotent","service":"s","timeoutMs":500}],"services":[{"name":"s"}]}`)
	env.Setenv("STORE", store.Address())
	recife := startInstance(env, objects.URL, store, "recife-1", lifted)
	fortaleza := startInstance(env, objects.URL, store, "fortaleza-1", lifted)
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	if err != nil {
		return err
	}
	golden, err := filepath.Abs(filepath.Join("..", "..", "version", "questionnaire", "testdata"))
	if err != nil {
		return err
	}
	env.Setenv("EXAMPLES", examples)
	env.Setenv("GOLDEN", golden)
	env.Setenv("TOUCAN_OBJECTS", strings.TrimPrefix(objects.URL, "http://"))
	env.Setenv("TOUCAN_STORE", store.Address())
	env.Setenv("TOUCAN_INSTANCES", recife+","+fortaleza)
	env.Setenv("USER", "ana")
	return nil
}

// newStore starts a stand-in of the platform's store with backend servers in two data centres.
func newStore(env *testscript.Env) *platformtest.Platform {
	store := platformtest.New()
	env.Defer(store.Close)
	for _, dc := range []string{"recife-a", "fortaleza-b"} {
		store.WriteObject(deployment.ServerKind, "engine-"+dc, `{"service":"p","address":"127.0.0.1:9","zone":"`+dc+`","version":"v1","capacity":4,"state":"available"}`)
	}
	return store
}

// evacuated returns the data centres that are evacuated in the store.
func evacuated(store *platformtest.Platform) (names []string) {
	objects := (&deployment.Store{Client: &platform.Client{BaseURL: "http://" + store.Address()}}).Objects()
	list, err := objects.List(context.Background(), deployment.EvacuationKind, "")
	if err != nil {
		return nil
	}
	for _, o := range list.Items {
		names = append(names, o.Name)
	}
	return names
}

// quarantineID is the id of the quarantine that the instances have.
const quarantineID = "764358fb683553e4"

// startInstance starts the parts of an instance that read configuration and keyring versions and serve GET /status. It
// returns the address of the listener.
// The instances have a quarantine, and lifted is set once one of them was asked to lift it.
func startInstance(env *testscript.Env, objects string, evacuations *platformtest.Platform, name string, lifted *atomic.Bool) string {
	client := &platform.Objects{Client: platform.Client{BaseURL: objects, Instance: name}}
	store := &versions.Store{Instance: name, Objects: client.Store(), Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		store.Run(ctx)
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		status := statusOf(store, client)
		status.Quarantines = []wire.QuarantineStatus{{
			Id: quarantineID, Parts: []string{"1f2e", "bad0bad0"}, Pool: "assistant", Crashes: 3, Refused: 4, Revision: 1, EndsInMs: 61000, State: wire.QuarantineStatusStateActive,
		}}
		if lifted.Load() {
			status.Quarantines[0].State, status.Quarantines[0].Revision = wire.QuarantineStatusStateLifted, 2
		}
		status.Evacuated = evacuated(evacuations)
		web.WriteJSON(w, http.StatusOK, status)
	})
	mux.HandleFunc("DELETE /quarantines/"+quarantineID, func(w http.ResponseWriter, _ *http.Request) {
		lifted.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	env.Defer(func() {
		cancel()
		<-done
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// statusOf returns the status of an instance, with the stops as the object API has them now.
func statusOf(store *versions.Store, client *platform.Objects) wire.Status {
	s := wire.Status{Instance: store.Instance, DataCentre: "recife-a", Keyrings: store.Keyrings()}
	cfg := store.Config()
	if cfg == nil {
		return s
	}
	s.ConfigVersion = cfg.Version
	for _, server := range cfg.Servers {
		s.Servers = append(s.Servers, wire.ServerStatus{
			Server: server.Name, DataCentre: server.DataCentre, Pool: server.Pool, State: stateOf(client, server.Name),
		})
	}
	return s
}

// stateOf returns draining if the object API has a planned stop of the backend server, else serving.
func stateOf(client *platform.Objects, server string) wire.ServerStatusState {
	obj, err := client.Get(context.Background(), platform.KindStop, server)
	if err != nil {
		return wire.ServerStatusStateServing
	}
	record, err := platform.Decode[wire.StopRecord](obj)
	if err != nil || record.State == wire.StopRecordStateCancelled {
		return wire.ServerStatusStateServing
	}
	return wire.ServerStatusStateDraining
}

// checkExitCode implements the script command "exits CODE PROGRAM ARGS...", which runs a program and checks its exit
// code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		got = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
