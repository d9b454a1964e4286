package admin

import (
	"cmp"
	"context"
	"slices"

	api "github.com/mustardramp/mustardramp/gen/workspace"
)

// workspaces serves the workspace service of the API.
type workspaces struct{ *server }

// List lists the workspaces in force at this host.
func (w workspaces) List(_ context.Context, p *api.ListPayload) (*api.ListResult, error) {
	if w.Workspaces == nil {
		return nil, unavailableError("workspaces")
	}
	page, next := pageOf(w.Workspaces.Workspaces(), func(s *api.Workspace) string { return s.Name }, p.After, p.Limit)
	return &api.ListResult{Items: page, Next: next}, nil
}

// Show shows one workspace.
func (w workspaces) Show(_ context.Context, p *api.ShowPayload) (*api.Workspace, error) {
	if w.Workspaces == nil {
		return nil, unavailableError("workspaces")
	}
	all := w.Workspaces.Workspaces()
	i, ok := slices.BinarySearchFunc(all, p.Name, func(s *api.Workspace, name string) int { return cmp.Compare(s.Name, name) })
	if !ok {
		return nil, newError(errNotFound, "no workspace %q is in force at this host", p.Name)
	}
	return all[i], nil
}
