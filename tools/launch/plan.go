package launch

import (
	"fmt"
	"strings"

	"github.com/toucanroute/toucanroute/standin/port"
	"github.com/toucanroute/toucanroute/wire"
)

// Instance is one toucanrouted instance with its listen addresses for callers, peers and operators.
type Instance struct {
	Name       string
	DataCentre string
	Callers    string
	Peers      string
	Operators  string
}

// Server is the stand-in of one backend server.
type Server struct {
	Name       string
	DataCentre string
	Pool       string
	IsCheap    bool
	IsModel    bool
	// Address serves both the requests and the stand-in's own /admin interface.
	Address string
	// CostPerHour is the price of one hour of running time.
	CostPerHour float64

	slots         int
	checksFencing bool
	// questionnaireAddress is the server's address in the questionnaire, which Address replaces.
	questionnaireAddress string
}

// serverGroup identifies a group of servers that one stand-in process simulates: all servers that have the values of
// its fields.
type serverGroup struct {
	pool          string
	dataCentre    string
	isCheap       bool
	isModel       bool
	slots         int
	checksFencing bool
}

func (s Server) serverGroup() serverGroup {
	return serverGroup{s.Pool, s.DataCentre, s.IsCheap, s.IsModel, s.slots, s.checksFencing}
}

// portAllocator allocates loopback addresses from reserved blocks of ports.
type portAllocator struct {
	blocks []*port.Block
	// usedInLastBlock is the number of ports of the last block that are already allocated.
	usedInLastBlock int
}

// allocate returns n addresses with consecutive ports.
func (p *portAllocator) allocate(n int) ([]string, error) {
	if n > port.BlockSize {
		return nil, fmt.Errorf("allocate %d consecutive ports: at most %d are possible", n, port.BlockSize)
	}
	if len(p.blocks) == 0 || p.usedInLastBlock+n > port.BlockSize {
		block, err := port.Reserve()
		if err != nil {
			return nil, err
		}
		p.blocks = append(p.blocks, block)
		p.usedInLastBlock = 0
	}
	block := p.blocks[len(p.blocks)-1]
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = block.Address(p.usedInLastBlock + i)
	}
	p.usedInLastBlock += n
	return addresses, nil
}

func (p *portAllocator) release() {
	for _, block := range p.blocks {
		block.Release()
	}
}

// servers lists the backend servers of a questionnaire.
func servers(q *wire.Questionnaire) []Server {
	var all []Server
	addPool := func(pool string, isModel bool, answers []wire.ServerAnswer) {
		for _, a := range answers {
			all = append(all, Server{
				Name:                 a.Name,
				DataCentre:           a.DataCentre,
				Pool:                 pool,
				IsCheap:              a.Kind == wire.ServerAnswerKindCheap,
				IsModel:              isModel,
				CostPerHour:          a.CostPerHour,
				slots:                a.AtOnce,
				checksFencing:        a.ChecksFencing,
				questionnaireAddress: a.Address,
			})
		}
	}
	for _, m := range q.Models {
		addPool(m.Name, true, m.Servers)
	}
	for _, s := range q.Services {
		addPool(s.Name, false, s.Servers)
	}
	return all
}

// planServers gives each server an address, with consecutive ports within a group, and returns the groups in order of
// their first server.
func planServers(all []Server, portAllocator *portAllocator) ([]serverGroup, error) {
	var groups []serverGroup
	serversByGroup := map[serverGroup][]int{}
	for i, s := range all {
		if serversByGroup[s.serverGroup()] == nil {
			groups = append(groups, s.serverGroup())
		}
		serversByGroup[s.serverGroup()] = append(serversByGroup[s.serverGroup()], i)
	}
	for _, g := range groups {
		addresses, err := portAllocator.allocate(len(serversByGroup[g]))
		if err != nil {
			return nil, err
		}
		for n, i := range serversByGroup[g] {
			all[i].Address = addresses[n]
		}
	}
	return groups, nil
}

// planInstances returns the given number of instances for each data centre, with addresses allocated.
func planInstances(dataCentres []string, perDataCentre int, portAllocator *portAllocator) ([]Instance, error) {
	var instances []Instance
	for index := range perDataCentre {
		for _, dataCentre := range dataCentres {
			addresses, err := portAllocator.allocate(3)
			if err != nil {
				return nil, err
			}
			instances = append(instances, Instance{
				Name:       fmt.Sprintf("%s-%d", dataCentre, index+1),
				DataCentre: dataCentre,
				Callers:    addresses[0],
				Peers:      addresses[1],
				Operators:  addresses[2],
			})
		}
	}
	return instances, nil
}

// replaceAddresses replaces the server addresses in the questionnaire's text with the allocated ones.
func replaceAddresses(text string, all []Server) string {
	oldNewPairs := make([]string, 0, 2*len(all))
	for _, s := range all {
		oldNewPairs = append(oldNewPairs, `"`+s.questionnaireAddress+`"`, `"`+s.Address+`"`)
	}
	return strings.NewReplacer(oldNewPairs...).Replace(text)
}

// instanceSettings returns the settings of an instance.
func instanceSettings(self Instance, instances []Instance, platform wire.SettingsPlatform, level string) wire.Settings {
	settings := wire.Settings{
		Instance:   self.Name,
		DataCentre: self.DataCentre,
		Listen:     wire.SettingsListen{Callers: self.Callers, Peers: self.Peers, Operators: self.Operators},
		Platform:   platform,
		Log:        &wire.SettingsLog{Level: wire.SettingsLogLevel(level)},
	}
	for _, other := range instances {
		if other.Name != self.Name {
			peer := wire.SettingsPeer{Instance: other.Name, DataCentre: other.DataCentre, Address: other.Peers}
			settings.Peers = append(settings.Peers, peer)
		}
	}
	return settings
}
