/** Settings of the programs, generated from schema/settings.yaml, and their checks. */
package org.lavenderstage.wire.settings;
