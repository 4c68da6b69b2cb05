/** Which executor serves a request. */
package org.lavenderstage.core.routing;
