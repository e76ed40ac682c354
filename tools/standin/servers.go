package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/standin/engine"
	"github.com/toucanroute/toucanroute/standin/service"
)

// hostOptions are the options of a subcommand that runs several servers on consecutive ports.
type hostOptions struct {
	Listen string   `long:"listen" value-name:"IP:PORT" required:"yes" description:"address of the first server"`
	Count  int      `long:"count" default:"1" description:"number of servers, on consecutive ports"`
	Name   []string `long:"name" description:"server's name; given once for each server, or once as the prefix of NAME-1, NAME-2, ..."`
}

// hostedServer is the name and the address of one of the servers that this process simulates.
type hostedServer struct {
	name    string
	address string
}

// hostedServers returns the names and addresses of all servers. Without --name their names begin with defaultName.
func (o hostOptions) hostedServers(defaultName string) ([]hostedServer, error) {
	first, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("--listen: %w", err)
	}
	names := o.Name
	if len(names) == 0 {
		names = []string{defaultName}
	}
	if len(names) != 1 && len(names) != o.Count {
		return nil, fmt.Errorf("--name: %d names for %d servers", len(names), o.Count)
	}
	hostedServers := make([]hostedServer, o.Count)
	for i := range hostedServers {
		hostedServers[i].address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		hostedServers[i].name = serverName(names, i, o.Count)
	}
	return hostedServers, nil
}

func serverName(names []string, i, count int) string {
	if len(names) == count {
		return names[i]
	}
	return fmt.Sprintf("%s-%d", names[0], i+1)
}

// runAll runs all servers concurrently until one fails or ctx ends.
func runAll(ctx context.Context, servers []hostedServer, runServer func(ctx context.Context, h hostedServer) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range servers {
		group.Go(func() error { return runServer(ctx, h) })
	}
	return group.Wait()
}

// engineCommand runs simulated model engines.
type engineCommand struct {
	app *app

	hostOptions
	Model         []string      `long:"model" default:"assistant" description:"name of a served model; * serves any name"`
	Slots         int           `long:"slots" default:"8" description:"maximum concurrent streams"`
	TokenTime     time.Duration `long:"token-time" default:"10ms" description:"time between tokens with one stream running; doubles with all slots taken"`
	PrefillTime   time.Duration `long:"prefill-time" default:"100us" description:"time to first token for each prompt token that is not cached"`
	CacheTokens   int           `long:"cache-tokens" default:"65536" description:"size of the prefix cache in tokens"`
	MinTokens     int           `long:"min-tokens" default:"16" description:"minimum response length in tokens"`
	MaxTokens     int           `long:"max-tokens" default:"1024" description:"maximum response length in tokens"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the response lengths"`
	LoadLag       time.Duration `long:"load-lag" default:"0s" description:"age of load reports"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing token"`
}

// Execute runs the engines until a signal.
func (c *engineCommand) Execute([]string) error {
	hostedServers, err := c.hostedServers("engine")
	if err != nil {
		return err
	}
	return runAll(c.app.ctx, hostedServers, func(ctx context.Context, h hostedServer) error {
		s := &engine.Server{
			Address:       h.address,
			OnListen:      c.app.ready,
			Name:          h.name,
			Models:        c.Model,
			Slots:         c.Slots,
			TokenTime:     c.TokenTime,
			PrefillTime:   c.PrefillTime,
			CacheTokens:   c.CacheTokens,
			MinTokens:     c.MinTokens,
			MaxTokens:     c.MaxTokens,
			Seed:          c.Seed,
			LoadLag:       c.LoadLag,
			ChecksFencing: c.ChecksFencing,
		}
		return s.Run(ctx)
	})
}

// serviceCommand runs simulated plain HTTP services.
type serviceCommand struct {
	app *app

	hostOptions
	Work  time.Duration `long:"work" default:"5ms" description:"duration of each call"`
	Slots int           `long:"slots" default:"16" description:"maximum concurrent calls that the service reports"`
}

// Execute runs the services until a signal.
func (c *serviceCommand) Execute([]string) error {
	hostedServers, err := c.hostedServers("service")
	if err != nil {
		return err
	}
	return runAll(c.app.ctx, hostedServers, func(ctx context.Context, h hostedServer) error {
		s := &service.Server{Address: h.address, OnListen: c.app.ready, Name: h.name, Work: c.Work, Slots: c.Slots}
		return s.Run(ctx)
	})
}
