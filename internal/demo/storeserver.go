package demo

import (
	"context"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

// storeServer is the stand-in object API with the workload's bundle rolled out.
type storeServer struct {
	objects *objectstoretest.Store
	server  *httptest.Server
	url     string
	// keys are the bundle keys that nodes trust.
	keys settings.Bundle
}

func startStore(ctx context.Context, w Workload) (*storeServer, error) {
	s := &storeServer{objects: objectstoretest.New()}
	s.server = httptest.NewServer(s.objects)
	s.url = s.server.URL
	return s, errors.Wrap(s.rollout(ctx, w), "roll out the bundle")
}

// rollout signs, approves and rolls out the workload's bundle with new keys.
func (s *storeServer) rollout(ctx context.Context, w Workload) error {
	author, err := bundle.GenerateKey("author")
	if err != nil {
		return err
	}
	approver, err := bundle.GenerateKey("approver")
	if err != nil {
		return err
	}
	authors, err := bundle.ParseTrustedKeys([]string{author.Public()})
	if err != nil {
		return err
	}
	approvers, err := bundle.ParseTrustedKeys([]string{approver.Public()})
	if err != nil {
		return err
	}
	s.keys = settings.Bundle{TrustedKeys: authors, ApproverKeys: approvers}
	trusted := s.keys.Trusted()
	e, err := bundle.NewEnvelope(w.Bundle())
	if err != nil {
		return err
	}
	e.Sign(author)
	if err := e.Approve(approver, trusted); err != nil {
		return err
	}
	_, err = rollout.NewOperator(s.objects, trusted).Rollout(ctx, e, nil)
	return err
}

func (s *storeServer) close() {
	s.objects.EndWatches()
	s.server.CloseClientConnections()
	s.server.Close()
}
