package wire

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// StateLeaving is the value of the "state" label of a VM that is about to be removed.
const StateLeaving = "leaving"

// maxList is the maximum size of the VM list in bytes; 750 replicas and 390 nodes take less than 1 MiB.
const maxList = 8 << 20

// VMList reads the platform's list of VMs in the JSON format of Prometheus HTTP service discovery.
type VMList struct {
	url    string
	client *http.Client
}

// NewVMList returns a reader of the list at a URL.
func NewVMList(url string) *VMList {
	return &VMList{url: url, client: platformClient()}
}

// Read fetches the list. It implements router.List and controller.List.
func (l *VMList) Read(ctx context.Context) ([]route.ListedTarget, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, errs.Errorf("vm list: %w", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, errs.Errorf("vm list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errs.Errorf("vm list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, errs.Errorf("vm list: %w", err)
	}
	return DecodeVMs(data)
}

// DecodeVMs decodes a list of VMs; an address that is not an IP address and port is an error.
func DecodeVMs(data []byte) ([]route.ListedTarget, error) {
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, errs.Errorf("vm list: %w", err)
	}
	var vms []route.ListedTarget
	for _, g := range groups {
		for _, t := range g.Targets {
			addr, err := netip.ParseAddrPort(t)
			if err != nil {
				return nil, errs.Errorf("vm list: %w", err)
			}
			vms = append(vms, route.ListedTarget{Addr: addr, Labels: g.Labels, Leaving: g.Labels["state"] == StateLeaving})
		}
	}
	return vms, nil
}
