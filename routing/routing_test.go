package routing

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func TestMatchReturnsTheMostSpecificRoute(t *testing.T) {
	r := New([]contract.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "cards", PathPrefix: "/cards"},
		{Name: "cards-post", PathPrefix: "/cards", Method: "POST"},
		{Name: "recipes", PathPrefix: "/cards/recipes"},
		{Name: "isar", PathPrefix: "/", Host: "logs.isar.example"},
	})
	cases := []struct{ name, method, target, want string }{
		{"prefix", "GET", "http://x.example/cards/7", "cards"},
		{"method", "POST", "http://x.example/cards/7", "cards-post"},
		{"longer prefix", "POST", "http://x.example/cards/recipes/1", "recipes"},
		{"host first", "GET", "http://logs.isar.example:8080/cards/recipes", "isar"},
		{"whole segments only", "GET", "http://x.example/cardstock", "all"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := r.Match(httptest.NewRequest(c.method, c.target, nil))
			must.True(t, ok)
			must.Eq(t, c.want, got.Name)
		})
	}
}

func TestMatchReportsThatNoRouteMatches(t *testing.T) {
	_, ok := New([]contract.Route{{Name: "cards", PathPrefix: "/cards"}}).Match(httptest.NewRequest("GET", "/else", nil))
	must.False(t, ok)
}
