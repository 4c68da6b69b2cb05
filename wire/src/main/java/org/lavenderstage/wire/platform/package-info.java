/** Messages between lavenderstage and the platform, generated from schema/platform.yaml. */
package org.lavenderstage.wire.platform;
