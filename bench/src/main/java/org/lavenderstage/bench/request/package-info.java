/** Experiments on requests: admission, routing, retries. */
package org.lavenderstage.bench.request;
