/** Numbered log events. */
package org.lavenderstage.wire.event;
