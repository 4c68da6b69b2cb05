/** Bodies of the callers' interface, generated from schema/http.yaml. */
package org.lavenderstage.wire.http;
