// Package access creates the adapters of the platform's services from the addresses,
// certificates and credentials in the settings.
package access

import (
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Services are the adapters of the platform's services. A service without settings is nil.
type Services struct {
	KeyValue  *etcd.Client
	Directory platform.Directory
	List      platform.InstanceList
	Weights   platform.WeightStore
}

// opener loads the certificates and secrets that the settings name.
type opener struct {
	store *credential.Store
	dial  credential.Dial
	// err is the first error.
	err error
}

// Open creates all adapters. They connect at the first call. The error is a
// *credential.FileError.
func Open(store *credential.Store, configured settings.Platform, dial credential.Dial) (Services, error) {
	o := &opener{store: store, dial: dial}
	services := Services{KeyValue: o.keyValue(configured)}
	if configured.Directory != "" {
		services.Directory = rest.NewDirectory(configured.Directory, dial, o.access(configured.Access.Directory))
	}
	if configured.InstanceList != "" {
		services.List = rest.NewInstanceList(configured.InstanceList, dial, o.access(configured.Access.InstanceList))
	}
	if configured.WeightStore != "" {
		services.Weights = rest.NewWeightStore(configured.WeightStore, dial, o.access(configured.Access.WeightStore))
	}
	return services, o.err
}

// KeyValue creates only the adapter of the key-value service.
func KeyValue(store *credential.Store, configured settings.Platform, dial credential.Dial) (*etcd.Client, error) {
	o := &opener{store: store, dial: dial}
	return o.keyValue(configured), o.err
}

func (o *opener) keyValue(configured settings.Platform) *etcd.Client {
	access := configured.Access.KeyValue
	return etcd.New(etcd.Options{
		Endpoints: configured.KeyValue,
		Prefix:    configured.Prefix,
		Dial:      o.dial,
		TLS:       o.client(access.TLS),
		User:      access.User,
		Password:  o.secret(access.PasswordFile),
	})
}

func (o *opener) access(configured settings.TokenAccess) rest.Access {
	return rest.Access{TLS: o.client(configured.TLS), Token: o.secret(configured.TokenFile)}
}

// client returns the TLS client, or nil for plain text.
func (o *opener) client(configured settings.ClientTLS) *credential.Client {
	if configured.Authority == "" {
		return nil
	}
	client := &credential.Client{ServerName: configured.ServerName}
	var err error
	if client.Authority, err = o.store.Authority(configured.Authority); err != nil {
		o.fail(err)
	}
	if configured.Certificate != "" {
		if client.Pair, err = o.store.Pair(configured.Certificate, configured.Key); err != nil {
			o.fail(err)
		}
	}
	return client
}

// secret returns a function that reads the current secret, or nil if no file is named.
func (o *opener) secret(file string) func() string {
	if file == "" {
		return nil
	}
	secret, err := o.store.Secret(file)
	if err != nil {
		o.fail(err)
		return nil
	}
	return secret.Value
}

func (o *opener) fail(err error) {
	if o.err == nil {
		o.err = err
	}
}
